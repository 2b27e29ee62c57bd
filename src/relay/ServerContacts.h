#pragma once

#include "crocusmount/Ids.h"
#include "crocusmount/Time.h"

#include <deque>
#include <optional>
#include <set>

namespace crocusmount::relay {

/// Records which of this instance's new connections to servers were answered, see PathEvidence.
class ServerContacts {
public:
    /// The contacts of the latest time.
    struct Recent {
        std::size_t contacts = 0;
        std::size_t answered = 0; ///< contacts that were answered
        std::size_t answeringServers = 0; ///< servers that answered at least one
    };

    /// Records that a server answered a contact.
    /// @param askedAt  start of the contact; an answer to one that precedes all failed ones shows nothing about the
    ///                 path since
    void recordAnswer(const BackendId&, TimePoint askedAt, TimePoint now);
    /// Records an answer to a contact whose failure was recorded before, and takes that failure back.
    void recordLateAnswer(const BackendId&, TimePoint askedAt, TimePoint now);
    /// Records that a server did not answer a contact, or could not be connected to.
    void recordFailure(const BackendId&, TimePoint askedAt, TimePoint now);
    /// Forgets the failures of a server that is not registered any more.
    void forget(const BackendId&);
    /// Starts recent() afresh.
    void forgetRecent() { m_recent.clear(); }
    /// Forgets all failures.
    void forgetFailures();

    /// @return servers that failed to answer since the last answered contact
    const std::set<BackendId>& failed() const { return m_failed; }
    /// @return time since the start of the first of these contacts
    Duration failingFor(TimePoint now) const { return m_failingSince ? now - *m_failingSince : Duration(0); }
    Recent recent(TimePoint now) const;

private:
    struct Contact {
        TimePoint askedAt;
        TimePoint endedAt;
        BackendId server;
        bool isAnswered = false;
    };

    void add(Contact);

    std::set<BackendId> m_failed;
    std::optional<TimePoint> m_failingSince; ///< start of the first failed contact; set while m_failed is not empty
    std::deque<Contact> m_recent; ///< oldest first
};

} // namespace crocusmount::relay
