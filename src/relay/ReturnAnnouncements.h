#pragma once

#include "relay/LoadReport.h"
#include "relay/PromisedReturn.h"

#include <map>
#include <vector>

namespace crocusmount::relay {

/// Passes on which callers were given a time to return at, with the load reports: from an instance to the collectors of
/// its data centre, from these to the collectors of the others, and from all collectors to their instances.
///
/// Load pattern: demand above the room for seconds. A caller returns at any instance, and goes before newcomers there
/// only if that instance knows of its slot. The news takes up to three rounds. A lost datagram costs nothing, as each
/// promise is sent in two rounds; where both are lost, the callers only lose their precedence.
class ReturnAnnouncements {
public:
    /// Number of rounds in which a promise is passed on.
    static constexpr int Rounds = 2;
    /// Most promises in a report of one instance, and in a sum. At 8 bytes each and seven rounds a second, an instance
    /// receives at most 29 KB/s from its two collectors while all reports are full.
    static constexpr std::size_t MaxPerInstance = 64;
    static constexpr std::size_t MaxPerSum = 256;

    /// Announces a promise of this instance.
    void add(const PromisedReturn&);
    /// Handles the promises in a report.
    /// @param isSenderSelf  the report is this instance's own
    void receive(const LoadReport&, bool isSenderSelf, TimePoint now);
    /// @return what a report of a scope passes on in this round
    std::vector<PromisedReturn> announced(LoadScope) const;
    /// Ends a round, in which everything announced was sent.
    void endRound(TimePoint now);
    /// @return the promises of other instances that arrived since the last call
    std::vector<PromisedReturn> takeReceived();

private:
    struct Pending {
        PromisedReturn promise;
        LoadScope heardFrom = LoadScope::Instance; ///< scope of the report that it came with
        bool isOwn = false;
        int roundsLeft = Rounds;
    };

    std::vector<Pending> m_pending; ///< the oldest first
    std::vector<PromisedReturn> m_received;
    std::map<std::uint64_t, TimePoint> m_known; ///< begin of the latest slot by key, so that nothing is passed on twice
};

} // namespace crocusmount::relay
