#pragma once

#include "crocusmount/Time.h"
#include "relay/CrashReport.h"
#include "relay/TraitStanding.h"

#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

namespace crocusmount::relay {

/// Counts the servers that requests with each trait may have crashed, and quarantines traits with enough evidence. A
/// request with a quarantined trait is not sent to any server. Instances share their crash reports, so all of them
/// reach the same verdicts.
///
/// A crash has many suspects, and most of them are harmless. A server that ended under a quarantined trait is
/// explained, so it does not count against other traits. If several traits reach the limit together, the one with the
/// most evidence is quarantined first, then the narrowest: the content, else the later part of the prompt, as requests
/// share the beginning of their prompts.
class RequestQuarantine {
public:
    /// What looks like a group failure to one instance may be several crashes, of which the other instances hold the
    /// rest of the evidence, so such an end counts for less.
    /// @return the points of evidence for the end of one server
    static std::uint32_t pointsOf(CrashSign, bool isGroupFailure = false);

    /// Counts a report about the end of a server.
    /// @param isOwn  whether this instance saw the end, rather than learning of it from another one
    /// @return whether the report is evidence that was not known yet
    bool add(const CrashReport&, bool isOwn, TimePoint now);

    /// A trait that was just quarantined.
    struct Verdict {
        RequestTrait trait;
        bool isOwn = false; ///< this instance saw one of the ends
    };
    /// Quarantines the traits with enough evidence, once the other instances' reports of the same ends have arrived.
    std::vector<Verdict> judge(TimePoint now);

    /// Quarantines a trait, on the verdict of another instance.
    /// @return whether the trait was not quarantined before
    bool quarantine(const RequestTrait&, TimePoint now);

    /// Removes the evidence against a trait and its quarantine, because a request with it ran without crashing its
    /// server or an operator lifted the quarantine.
    /// @return whether there was a record of the trait
    bool clear(const RequestTrait&);

    bool isQuarantined(const RequestTrait&, TimePoint now) const;
    /// @return the first of the traits that is quarantined, or null if none is
    const RequestTrait* findQuarantined(const std::vector<RequestTrait>&, TimePoint now) const;
    /// @return the evidence against a trait
    TraitEvidence evidence(const RequestTrait&, TimePoint now) const;
    /// @return the number of servers that requests with the trait may have crashed; at most MaxServersPerTrait are
    ///         remembered
    std::size_t serverCount(const RequestTrait&) const;
    bool empty() const { return m_records.empty(); }
    /// @return the number of quarantined traits
    std::size_t quarantinedCount(TimePoint now) const;

    /// Removes expired evidence and ends expired quarantines. Requests with a trait whose quarantine has ended may run
    /// again. One crash just after such a request began to run quarantines the trait again.
    void removeExpired(TimePoint now);

private:
    /// The end of a server under a request.
    struct End {
        std::uint64_t server = 0; ///< engineKey
        std::uint32_t points = 0;
    };
    struct Record {
        std::vector<End> ends; ///< one for each server, oldest first
        std::uint32_t carriedPoints = 0; ///< points kept from a quarantine that has ended
        TimePoint lastEvidenceAt; ///< when a crash or verdict was last reported, or the quarantine ended
        std::optional<TimePoint> quarantinedUntil; ///< empty if the trait is not quarantined
        std::optional<TimePoint> blockableSince; ///< when the evidence became enough; empty if it is not
        bool hasOwnEnd = false; ///< this instance saw one of the ends
        std::size_t position = 0; ///< among the traits of its request, see CrashSuspect

        /// @return whether the end was not known, or only with fewer points
        bool add(const End&);
        /// @param explained  servers whose ends do not count
        TraitEvidence evidence(const std::set<std::uint64_t>& explained) const;
    };

    /// Finds or creates the record of a trait and sets lastEvidenceAt. If there are MaxRecords already, creating one
    /// evicts the record with the oldest evidence, a quarantined one only if all are.
    Record& touchRecord(const RequestTrait&, TimePoint now);
    /// Updates m_explainedServers after a change of the quarantined records.
    void updateExplainedServers();
    /// @return the trait to quarantine next, or null if no evidence is enough
    std::pair<const RequestTrait, Record>* findBlockable(TimePoint now);

    std::map<RequestTrait, Record> m_records;
    std::set<std::uint64_t> m_explainedServers; ///< servers that ended under quarantined traits
};

} // namespace crocusmount::relay
