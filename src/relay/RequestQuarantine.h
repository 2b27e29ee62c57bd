#pragma once

#include "crocusmount/Time.h"
#include "relay/CrashReport.h"

#include <map>
#include <optional>
#include <vector>

namespace crocusmount::relay {

/// Counts the servers that each request may have crashed and quarantines requests with enough evidence. A quarantined
/// request is not sent to any server. Instances share their crash reports, so all of them reach the same verdicts.
class RequestQuarantine {
public:
    /// Points of evidence at which a request is quarantined. Three servers that ended just after they began to run the
    /// request are enough, or six at which the request was waiting. A harmless request would have to be at that
    /// many crashed servers by chance.
    static constexpr std::uint32_t Limit = 6;
    /// @return the points of evidence for the end of one server
    static std::uint32_t pointsOf(CrashSign);

    /// The effect of a report.
    enum class Change {
        None, ///< the report was known already or is no evidence
        Counted, ///< the report was counted, and the request's quarantine has not changed
        Quarantined, ///< the report was counted, and the request is quarantined from now on
    };

    /// Counts a report about the end of a server.
    Change add(const CrashReport&, TimePoint now);

    /// Quarantines a request, on the verdict of another instance.
    /// @return whether the request was not quarantined before
    bool quarantine(const RequestIdentity&, TimePoint now);

    /// Removes the evidence against a request and its quarantine, because the request ran without crashing its server
    /// or an operator lifted the quarantine.
    /// @return whether there was a record of the request
    bool clear(const RequestIdentity&);

    bool isQuarantined(const RequestIdentity&, TimePoint now) const;
    /// @return the points of evidence against a request
    std::uint32_t points(const RequestIdentity&) const;
    /// @return the number of servers that the request may have crashed; at most MaxServersPerRequest are remembered
    std::size_t serverCount(const RequestIdentity&) const;
    bool empty() const { return m_records.empty(); }
    /// @return the number of quarantined requests
    std::size_t quarantinedCount(TimePoint now) const;

    /// Removes expired evidence and ends expired quarantines. A request whose quarantine has ended may run again. One
    /// crash just after the request began to run quarantines it again.
    void removeExpired(TimePoint now);

private:
    struct Record {
        std::map<std::uint64_t, CrashSign> servers; ///< servers that ended, by engineKey
        std::uint32_t carriedPoints = 0; ///< points kept from a quarantine that has ended
        TimePoint lastEvidenceAt; ///< when a crash or verdict was last reported, or the quarantine ended
        std::optional<TimePoint> quarantinedUntil; ///< empty if the request is not quarantined

        std::uint32_t points() const;
    };

    /// Finds or creates the record of a request and sets lastEvidenceAt. If there are MaxRecords already, creating one
    /// evicts the record with the oldest evidence.
    Record& touchRecord(const RequestIdentity&, TimePoint now);

    std::map<RequestIdentity, Record> m_records;
};

} // namespace crocusmount::relay
