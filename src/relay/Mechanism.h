#pragma once

#include <absl/status/statusor.h>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace crocusmount::relay {

/// A part of the decisions that can be switched off by itself, to measure what it is worth (tools/rounds --without).
enum class Mechanism {
    EngineChecks, ///< asking engines how they are
    ClosedEngines, ///< sending nothing to engines that turn calls away though they have room
    DeadReports, ///< telling the other instances of a dead engine
    SlownessPrice, ///< dearer engines where they report that they are slow
    EarlyReplacement, ///< placing the layers of a dead engine elsewhere before the list shows its end
    HolderWeights, ///< holders of layers count by their speed where engines are placed
    Moves, ///< moving engines to where holders are missing
    EntryPrice, ///< dearer first stages where their slots are taken
    LoadExchange, ///< prices by what all instances hold
    OthersAvoidance, ///< avoiding what many other instances avoid
    StreamLimit, ///< the adaptive bound on streams in flight
    ComeBackTime, ///< times to come back that follow the length of a shortage
    SecondAttempts, ///< a second attempt beside one that stands still
    Reroutes, ///< running streams ordered onto another chain
    StallQuestions, ///< asking the first stage where a stream stands still
    Quarantine, ///< sending requests under which servers end to none
    StoreFeed, ///< copies of the store kept up to date by another instance
};

/// The mechanisms that are switched off; none in production.
class DisabledMechanisms {
public:
    /// @param names  comma-separated, as in mechanismNames
    /// @return the set, or InvalidArgument with the name that is unknown
    static absl::StatusOr<DisabledMechanisms> make(std::string_view names);

    bool has(Mechanism mechanism) const { return m_disabled.count(mechanism) != 0; }

private:
    std::set<Mechanism> m_disabled;
};

/// @return the names of all mechanisms, in the order of their declaration
std::vector<std::string> mechanismNames();

} // namespace crocusmount::relay
