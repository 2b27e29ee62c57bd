#pragma once

#include <boost/json.hpp>
#include <cstdint>
#include <string>
#include <string_view>

namespace crocusmount::relay {

/// Structured log: one JSON object a line on standard output, for each decision that touches a call or changes a
/// belief. Lines are written by a thread of their own; where it falls behind, or more come than the limit allows,
/// lines are dropped and counted, and the caller never waits.
class DecisionLog {
public:
    /// @param instance       named in every line
    /// @param linesPerSecond most lines of one second that tell of single calls; other lines are not limited
    static void setUp(std::string instance, std::uint32_t linesPerSecond);
    /// Writes what is left and ends the thread.
    static void shutDown();

    /// A change of state or belief: start, stop, configuration, servers, dependencies. Always written.
    static void state(std::string_view what, const boost::json::object& inputs = {});
    /// A decision on one call. @param call  the caller's id of it
    static void call(std::string_view what, std::string_view call, const boost::json::object& inputs = {});

    /// @return lines left out because of the limit or a full queue
    static std::uint64_t dropped();
};

} // namespace crocusmount::relay
