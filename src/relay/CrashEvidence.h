#pragma once

#include "crocusmount/Time.h"
#include "relay/CrashReport.h"

#include <deque>
#include <map>
#include <optional>
#include <vector>

namespace crocusmount::relay {

/// Decides which requests may have crashed a server, from what one instance observes: attempts that ended before their
/// answer was complete, and servers that were found dead. A server is identified by the key of one of its starts, see
/// engineKey.
///
/// A server that crashes ends all requests that it runs. Two rules narrow down the cause:
/// - A request is suspected only if the server had just begun to run it or may have been about to (see CrashSign).
/// - If several servers ended at about the same time whose requests have no trait in common with this one, the cause
///   seems to be the loss of a group of servers, such as a rack or those behind a switch.
///
/// A server ended at some time between when it was last known to be alive and when its end was detected. Servers whose
/// intervals do not overlap did not end together, even if their ends were detected within a short time.
class CrashEvidence {
public:
    /// Records an attempt that ended before its answer was complete.
    /// @param servers  servers on the attempt's chain that may have ended
    void noteLost(const CrashSuspect&, std::vector<std::uint64_t> servers, TimePoint now);

    /// Records that a server answered, so the server had not ended when earlier attempts were lost there.
    /// @param askedAt  when the server was asked for the answer; attempts that were lost later stay suspects
    /// @return the number of lost attempts that the server cannot have ended under any more
    std::size_t noteAlive(std::uint64_t server, TimePoint askedAt);

    /// Records that something answered at the address of a server, which was silent before.
    void noteAnswered(std::uint64_t server);

    /// Records that a server does not answer. The server may have ended or be cut off by the network.
    /// @param lastAliveAt  when the server was last known to be alive
    void noteSilent(std::uint64_t server, TimePoint now, TimePoint lastAliveAt = {});

    /// Records that a server's process has ended.
    /// @param running  requests with a running attempt at the server
    /// @param lastAliveAt  when the server was last known to be alive
    /// @return whether the end was not yet known
    bool noteEnded(std::uint64_t server, std::vector<CrashSuspect> running, TimePoint now, TimePoint lastAliveAt = {});

    /// Classifies the ends that were confirmed long enough ago to tell a crash from a group failure.
    /// @return a report for each suspect of the ends that this call has classified
    std::vector<CrashReport> classifyEnds(TimePoint now);

    /// @return the number of possible or confirmed ends of servers that are not classified yet and for which a request
    ///         with the trait is a suspect
    std::size_t unclassifiedEndCount(const RequestTrait&) const;

    /// @return servers that may have ended during an attempt, each with the time when the last such attempt was lost. A
    ///         check has to be sent after that time to show whether the server was still alive.
    std::map<std::uint64_t, TimePoint> unsettledServers() const;

    /// @return the number of lost attempts that were dropped before it was known whether a server had ended
    std::uint64_t expiredCount() const { return m_expiredCount; }
    /// @return the number of lost attempts that did not count, as the server's end had been classified by then
    std::uint64_t lateCount() const { return m_lateCount; }

private:
    /// An attempt that ended before its answer was complete, at a server whose end is not confirmed.
    struct LostAttempt {
        CrashSuspect suspect;
        std::vector<std::uint64_t> servers; ///< servers that may have ended
        TimePoint lostAt;
    };
    /// The end of a server, confirmed or not.
    struct ServerEnd {
        TimePoint detectedAt;
        TimePoint lastAliveAt;
        std::optional<TimePoint> confirmedAt; ///< empty while the server merely does not answer
        bool isSettled = false; ///< has been classified
        std::vector<CrashSuspect> suspects; ///< at most one per request
        std::vector<CrashSuspect> lateSuspects; ///< of these, known since the end was classified, and not reported yet

        /// @return whether a suspect has a trait in common with a request
        bool hasSuspectLike(const CrashSuspect&) const;
        /// Adds a suspect, or raises the sign of a known one.
        void addSuspect(const CrashSuspect&);
        /// @return whether both ends were detected within GroupWindow and their intervals overlap
        bool mayHaveEndedTogether(const ServerEnd&) const;
    };

    /// Adds a suspect to a confirmed end. After the end has been classified, only one whose answer had begun counts, as
    /// the attempt may otherwise have been made after the end.
    void addToConfirmed(ServerEnd&, const CrashSuspect&);
    /// @return whether at least MinOthersInGroupFailure servers ended together with this one whose suspects have no
    ///         trait in common with this one
    bool isGroupFailure(const ServerEnd&, const CrashSuspect&) const;
    void removeExpired(TimePoint now);

    /// Calls that wait for a server ask for their traits in every tick, and most of the time nothing has changed.
    void updateOpenEndCounts() const;

    std::deque<LostAttempt> m_lostAttempts; ///< oldest first
    std::map<std::uint64_t, ServerEnd> m_ends; ///< by key of the server
    std::uint64_t m_expiredCount = 0;
    std::uint64_t m_lateCount = 0;
    mutable std::map<RequestTrait, std::size_t> m_openEndCounts; ///< see unclassifiedEndCount
    mutable bool m_areOpenEndCountsOutdated = false;
};

} // namespace crocusmount::relay
