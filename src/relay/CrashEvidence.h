#pragma once

#include "crocusmount/Time.h"
#include "relay/CrashReport.h"

#include <deque>
#include <map>
#include <optional>
#include <vector>

namespace crocusmount::relay {

/// Tells under which requests servers ended, from what one instance sees: attempts that ended without a whole answer,
/// and servers that were found dead.
///
/// A server that crashes ends all that it runs. What sets the cause apart from the bystanders is that the server had
/// only just begun to run it (CrashSign); what sets a crash apart from the loss of a rack or a switch is that no others
/// ended in the same moment. A server ended at some time between when it was last known to be alive and when its end
/// was detected; servers whose intervals do not overlap did not end together, even if detected within a short time.
class CrashEvidence {
public:
    /// Notes that an attempt ended unfinished, and that any of these servers may have ended under it.
    /// @param servers  see engineKey
    void noteLost(const CrashSuspect&, std::vector<std::uint64_t> servers, TimePoint now);

    /// Notes that a server answered: what ended there before did not end with it.
    void noteAlive(std::uint64_t server);

    /// Notes that a server does not answer, which may be a cut.
    /// @param lastAliveAt  when it was last known to be alive
    void noteSilent(std::uint64_t server, TimePoint now, TimePoint lastAliveAt = {});

    /// Notes that a server's process has ended.
    /// @param running  those of running attempts there
    /// @param lastAliveAt  when it was last known to be alive
    /// @return whether that is news
    bool noteEnded(std::uint64_t server, std::vector<CrashSuspect> running, TimePoint now, TimePoint lastAliveAt = {});

    /// What is known of the ends that are old enough to be told from the loss of a group.
    struct Findings {
        std::vector<CrashReport> crashes;
        std::vector<CrashReport> dismissed; ///< other servers ended in the same moment
    };
    Findings settle(TimePoint now);

    /// @return ends of servers, certain or not, of which it is not known yet whether they tell of a request
    std::size_t openCases(const RequestIdentity&) const;

    /// @return servers that may have ended under attempts, with the time of the last of these: each is to be asked
    /// since
    std::map<std::uint64_t, TimePoint> unsettledServers() const;

private:
    struct Lost {
        CrashSuspect suspect;
        std::vector<std::uint64_t> servers;
        TimePoint at;
    };
    struct End {
        TimePoint foundAt;
        TimePoint lastAliveAt; ///< when it was last known to be alive
        std::optional<TimePoint> certainAt; ///< nothing: it only does not answer
        bool settled = false;
        std::vector<CrashSuspect> suspects;

        bool concerns(const RequestIdentity&) const;
        void add(const CrashSuspect&);
        /// @return whether both ends were found close together and may have been at the same time
        bool mayHaveEndedTogether(const End&) const;
    };

    bool isOfGroup(const End&, const RequestIdentity&) const;
    void forgetOld(TimePoint now);

    std::deque<Lost> m_lost; ///< oldest first
    std::map<std::uint64_t, End> m_ends; ///< by server
};

} // namespace crocusmount::relay
