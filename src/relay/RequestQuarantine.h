#pragma once

#include "crocusmount/Time.h"
#include "relay/CrashReport.h"

#include <map>
#include <optional>
#include <vector>

namespace crocusmount::relay {

/// The requests under which servers have ended, and those of them that are sent to no server any more. All instances
/// tell each other of crashes, so each comes to the same verdicts.
class RequestQuarantine {
public:
    /// Points of evidence at which a request is quarantined: three servers that had just begun to run it, or six at
    /// which it waited. A bystander would have had to begin beside the cause each time.
    static constexpr std::uint32_t Limit = 6;
    /// @return the points that the end of one server counts
    static std::uint32_t pointsOf(CrashSign);

    /// What a report changed.
    enum class Change {
        None, ///< it was known
        Counted,
        Quarantined, ///< that is enough
    };

    /// Takes in that a server ended under a request.
    Change add(const CrashReport&, TimePoint now);

    /// Takes in a verdict that another instance came to.
    /// @return whether it is news
    bool quarantine(const RequestIdentity&, TimePoint now);

    /// Forgets all that is known of a request: it has run soundly, or an operator says so.
    /// @return whether anything was known
    bool clear(const RequestIdentity&);

    bool isQuarantined(const RequestIdentity&, TimePoint now) const;
    /// @return the points of evidence against a request
    std::uint32_t points(const RequestIdentity&) const;
    /// @return servers that ended under a request, as far as they are remembered
    std::size_t servers(const RequestIdentity&) const;
    bool empty() const { return m_records.empty(); }
    /// @return how many requests are sent to no server
    std::size_t quarantined(TimePoint now) const;

    /// Forgets what is too old. A request whose time is over may run once more: one crash quarantines it again.
    void forgetOld(TimePoint now);

private:
    struct Record {
        std::map<std::uint64_t, CrashSign> servers; ///< that ended, see engineKey
        std::uint32_t carried = 0; ///< points of a quarantine that is over
        TimePoint lastCrash;
        std::optional<TimePoint> quarantinedUntil;

        std::uint32_t points() const;
    };

    Record& recordOf(const RequestIdentity&, TimePoint now);

    std::map<RequestIdentity, Record> m_records;
};

} // namespace crocusmount::relay
