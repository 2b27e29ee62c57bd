#pragma once

#include "crocusmount/Time.h"

#include <cstddef>

namespace crocusmount::relay {

/// What this instance knows about its own network path to the backend servers.
enum class ServerPath {
    Unknown, ///< too little is known
    Reachable, ///< a server answered the latest contact
    CutOff, ///< no server answers this instance, although they answer others
};

/// @return the snake_case name used in logs
const char* toString(ServerPath);

/// The outcomes of this instance's latest contacts with servers. A contact is a new connection: an attempt, a check or
/// a probe. Connections that are already open may live on while new ones fail.
struct PathEvidence {
    bool knowsOthers = false; ///< whether it is known which servers answer other instances
    std::size_t failed = 0; ///< servers that failed to answer since the last answered contact
    std::size_t failedHereOnly = 0; ///< of those, servers that have answered other instances lately
    Duration failingFor {}; ///< since the first of these failures
    std::size_t contacts = 0; ///< contacts of the last second or so
    std::size_t answered = 0; ///< of those, the ones that were answered
    std::size_t answeringServers = 0; ///< servers that answered them
    Duration silentForAll {}; ///< since a server last answered another instance; zero if that is not known
};

/// Unanswered contacts alone do not tell a broken path from servers that are gone, slow or full. The instance is cut
/// off only if the same servers answer other instances at the same time. Hysteresis keeps an instance from returning to
/// the directory until most contacts get through, or until the servers answer no instance.
/// @param current  the result of the previous call
ServerPath classifyPath(const PathEvidence&, ServerPath current);

/// @return whether this instance may be cut off, so that it must not conclude from their silence that servers are dead
bool isPathInDoubt(const PathEvidence&, ServerPath current);

} // namespace crocusmount::relay
