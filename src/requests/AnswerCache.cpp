#include "requests/AnswerCache.h"

namespace crocusmount {

AnswerCache::AnswerCache(Duration maxAge, std::size_t maxAnswers)
    : m_maxAge(maxAge)
    , m_maxAnswers(maxAnswers)
{
}

void AnswerCache::store(const std::string& keyHash, Answer answer, TimePoint now)
{
    removeExpired(now);
    if (m_answers.insert_or_assign(keyHash, std::move(answer)).second)
        m_insertionOrder.push_back({ keyHash, now });
}

const AnswerCache::Answer* AnswerCache::find(const std::string& keyHash, TimePoint now)
{
    removeExpired(now);
    const auto found = m_answers.find(keyHash);
    return found == m_answers.end() ? nullptr : &found->second;
}

void AnswerCache::removeExpired(TimePoint now)
{
    while (!m_insertionOrder.empty()
        && (m_insertionOrder.size() > m_maxAnswers || now - m_insertionOrder.front().storedAt > m_maxAge)) {
        m_answers.erase(m_insertionOrder.front().keyHash);
        m_insertionOrder.pop_front();
    }
}

} // namespace crocusmount
