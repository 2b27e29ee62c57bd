#pragma once

#include "crocusmount/Ids.h"
#include "crocusmount/Time.h"

#include <optional>
#include <set>

namespace crocusmount::relay {

/// Records which of this instance's new connections to servers were answered, see PathEvidence.
class ServerContacts {
public:
    /// Records that a server answered a contact.
    /// @param askedAt  start of the contact; an answer to one that precedes all failed ones shows nothing about the
    ///                 path since
    void recordAnswer(const BackendId&, TimePoint askedAt, TimePoint now);
    /// Records that a server did not answer a contact, or could not be connected to.
    void recordFailure(const BackendId&, TimePoint askedAt);
    /// Forgets a server that is not registered any more.
    void forget(const BackendId&);

    /// @return servers that failed to answer since the last answered contact
    const std::set<BackendId>& failed() const { return m_failed; }
    /// @return servers that answered since the last failed contact
    const std::set<BackendId>& answered() const { return m_answered; }
    Duration failingFor(TimePoint now) const;
    Duration answeringFor(TimePoint now) const;

private:
    std::set<BackendId> m_failed;
    std::set<BackendId> m_answered;
    std::optional<TimePoint> m_failingSince; ///< start of the first failed contact; set while m_failed is not empty
    std::optional<TimePoint> m_answeringSince; ///< time of the first answer; set while m_answered is not empty
};

} // namespace crocusmount::relay
