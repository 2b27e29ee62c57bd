#include "relay/ServerContacts.h"

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
    add({ now, server, true });
}

void ServerContacts::recordFailure(const BackendId& server, TimePoint askedAt, TimePoint now)
{
    if (!m_failingSince)
        m_failingSince = askedAt;
    m_failed.insert(server);
    add({ now, server, false });
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
