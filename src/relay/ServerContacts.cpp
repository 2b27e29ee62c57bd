#include "relay/ServerContacts.h"

#include <algorithm>

namespace crocusmount::relay {

namespace {

    /// Covers several checks of an instance that is cut off.
    constexpr Duration RecentTime = std::chrono::milliseconds(1200);
    /// Bounds the memory of a busy instance, which needs no more to know that it reaches the servers.
    constexpr std::size_t MaxRecent = 64;

} // namespace

void ServerContacts::recordAnswer(const BackendId& server, TimePoint askedAt, TimePoint now)
{
    if (m_failingSince && askedAt < *m_failingSince)
        return;
    m_failed.clear();
    m_failingSince.reset();
    add({ askedAt, now, server, true });
}

void ServerContacts::recordLateAnswer(const BackendId& server, TimePoint askedAt, TimePoint now)
{
    // The time of the failure may be that of the decision to ask, which precedes the question.
    const auto failure = std::find_if(m_recent.rbegin(), m_recent.rend(), [&](const Contact& contact) {
        return !contact.isAnswered && contact.server == server && contact.askedAt <= askedAt;
    });
    if (failure != m_recent.rend())
        m_recent.erase(std::next(failure).base());
    recordAnswer(server, askedAt, now);
}

void ServerContacts::recordFailure(const BackendId& server, TimePoint askedAt, TimePoint now)
{
    if (!m_failingSince)
        m_failingSince = askedAt;
    m_failed.insert(server);
    add({ askedAt, now, server, false });
}

void ServerContacts::forget(const BackendId& server)
{
    m_failed.erase(server);
    if (m_failed.empty())
        m_failingSince.reset();
}

void ServerContacts::forgetFailures()
{
    m_failed.clear();
    m_failingSince.reset();
}

void ServerContacts::add(Contact contact)
{
    m_recent.push_back(std::move(contact));
    if (m_recent.size() > MaxRecent)
        m_recent.pop_front();
}

ServerContacts::Recent ServerContacts::recent(TimePoint now) const
{
    Recent recent;
    std::set<BackendId> answering;
    for (const Contact& contact : m_recent) {
        if (now - contact.endedAt > RecentTime)
            continue;
        ++recent.contacts;
        recent.answered += contact.isAnswered ? 1 : 0;
        if (contact.isAnswered)
            answering.insert(contact.server);
    }
    recent.answeringServers = answering.size();
    return recent;
}

} // namespace crocusmount::relay
