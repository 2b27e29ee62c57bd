#pragma once

#include "crocusmount/Time.h"
#include "relay/CrashRecord.h"
#include "relay/CrashReport.h"
#include "relay/SoundRun.h"
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
/// A part of the prompts of all workspaces is quarantined only if enough evidence remains without the ends to which any
/// one workspace contributed. Otherwise a caller could name a part of other workspaces in requests that crash servers.
///
/// A crash has many suspects, and most of them are harmless. A server that ended under a quarantined trait is
/// explained, so it does not count against other traits, except that each quarantined content counts once against its
/// parts. If several traits reach the limit together, the one with the most evidence is quarantined first, then the
/// narrowest: the content, else the later part of the prompt, as requests share the beginning of their prompts.
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

    /// Removes the evidence against a trait and its quarantine.
    /// @return whether there was a record of the trait
    bool clear(const RequestTrait&);

    /// What a run with a trait has changed.
    struct Refutation {
        std::uint32_t servers = 0; ///< ends that no longer count
        bool liftsQuarantine = false; ///< too little evidence is left
    };
    /// Records that a request with a trait ran without crashing its server. The ends that the run refutes do not count
    /// against the trait any more, in whichever order the run and reports of these ends arrive.
    Refutation refute(const SoundRun&, TimePoint now);
    /// @param begunAt  when a run with the trait began
    /// @return keys of the servers whose ends still count and that had ended before
    std::vector<std::uint64_t> endsBefore(const RequestTrait&, TimePoint begunAt) const;
    /// @return whether an instance is known to have run a request with the trait lately
    bool isKnownToHaveRun(const RequestTrait&) const;

    /// @return the traits that stood as doubtful at the last judgement
    const std::set<RequestTrait>& doubtfulTraits() const { return m_doubtfulTraits; }
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
    using End = CrashRecord::End;
    using Record = CrashRecord;

    /// Finds or creates the record of a trait and sets lastEvidenceAt. If there are MaxRecords already, creating one
    /// evicts the record with the oldest evidence, a quarantined one only if all are.
    Record& touchRecord(const RequestTrait&, TimePoint now);
    TraitEvidence evidenceOf(const RequestTrait&, const Record&) const;
    /// @return whether the evidence is enough to block the trait
    bool isBlocked(const RequestTrait&, const Record&) const;
    /// @return whether the server ended under a quarantined trait other than this content or part
    bool isExplained(std::uint64_t server, const RequestTrait::Value&) const;
    /// @return whether an instance ran a request lately with the trait or, for a part, with the part in any workspace
    bool hasRun(const RequestTrait&, const Record&) const;
    /// @return whether an end counts against the trait
    bool counts(const End&, const RequestTrait&, const Record&) const;
    /// @return whether the trait is a part that ran, and the server ended under a part that is not known to have run
    bool hasLikelierCause(const End&, const RequestTrait&, const Record&) const;
    /// Of the ends that a blocked content explains, the first one counts against the parts of the content, like the
    /// only end of a content that is not blocked.
    /// @param countedContents  contents for which an end counts already; those of this end are added if it counts
    /// @return whether the end, which blocked traits explain, counts against the trait all the same
    bool isFirstOfContents(
        const End&, const RequestTrait&, const Record&, std::set<RequestTrait::Value>& countedContents) const;
    /// @return whether the trait is one workspace's part, and the part is quarantined for all
    bool isCovered(const RequestTrait&) const;
    /// Updates m_serversOfNewParts.
    void updateServersOfNewParts();
    /// Updates m_doubtfulTraits.
    void updateDoubtfulTraits();
    /// Updates m_explainedServers after a change of the quarantined records.
    void updateExplainedServers();
    using Candidate = std::pair<const RequestTrait, Record>;

    /// @return how few requests are expected to have the trait; more is narrower
    static std::size_t narrownessOf(const Candidate&);
    /// @return whether each end that counts against the other candidate counts against the first one, too
    bool covers(const Candidate&, const Candidate& other) const;
    /// @return whether the candidate ran, and a doubtful trait with more evidence was on all of its servers. That one
    /// may
    ///         still lack evidence of other workspaces, or ends that are far enough apart.
    bool hasStrongerSuspect(const Candidate&) const;
    /// @return traits with enough evidence, without those that a narrower one covers
    std::vector<Candidate*> findCandidates(TimePoint now);
    /// @return the trait to quarantine next, or null if no evidence is enough
    Candidate* findBlockable(TimePoint now);

    std::map<RequestTrait, Record> m_records;
    /// Servers that ended under quarantined traits, with the contents and parts.
    std::map<std::uint64_t, std::set<RequestTrait::Value>> m_explainedServers;
    /// Servers that ended under parts which are on several of them and are not known to have run lately. They are the
    /// likelier cause, so these ends do not count against traits that ran.
    std::set<std::uint64_t> m_serversOfNewParts;
    std::set<RequestTrait> m_doubtfulTraits; ///< as of the last judgement
};

} // namespace crocusmount::relay
