#include "relay/ServerContacts.h"

namespace crocusmount::relay {

void ServerContacts::recordAnswer(const BackendId& server, TimePoint askedAt, TimePoint now)
{
    if (m_failingSince && askedAt < *m_failingSince)
        return;
    m_failed.clear();
    m_failingSince.reset();
    if (!m_answeringSince)
        m_answeringSince = now;
    m_answered.insert(server);
}

void ServerContacts::recordFailure(const BackendId& server, TimePoint askedAt)
{
    if (m_answeringSince && askedAt < *m_answeringSince)
        return;
    m_answered.clear();
    m_answeringSince.reset();
    if (!m_failingSince)
        m_failingSince = askedAt;
    m_failed.insert(server);
}

void ServerContacts::forget(const BackendId& server)
{
    m_failed.erase(server);
    m_answered.erase(server);
    if (m_failed.empty())
        m_failingSince.reset();
    if (m_answered.empty())
        m_answeringSince.reset();
}

Duration ServerContacts::failingFor(TimePoint now) const
{
    return m_failingSince ? now - *m_failingSince : Duration(0);
}

Duration ServerContacts::answeringFor(TimePoint now) const
{
    return m_answeringSince ? now - *m_answeringSince : Duration(0);
}

} // namespace crocusmount::relay
