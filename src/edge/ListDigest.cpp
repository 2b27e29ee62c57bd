#include "edge/ListDigest.h"

#include "edge/DecisionLog.h"

#include <utility>

namespace crocusmount {

namespace {

    constexpr std::chrono::milliseconds LineInterval { 1000 };
    /// Ids in one line. The first few tell where a fault began; the counts tell its size.
    constexpr std::size_t MostIds = 8;

    boost::json::array toJson(const std::vector<std::string>& ids)
    {
        boost::json::array list;
        for (const std::string& id : ids)
            list.emplace_back(id);
        return list;
    }

} // namespace

void ListDigest::Changes::note(const std::string& id)
{
    ++count;
    if (first.size() < MostIds)
        first.push_back(id);
}

void ListDigest::added(const std::string& id, std::int64_t revision)
{
    m_added.note(id);
    m_revision = revision;
}

void ListDigest::removed(const std::string& id, std::int64_t revision)
{
    m_removed.note(id);
    m_revision = revision;
}

bool ListDigest::write(std::size_t size, std::chrono::steady_clock::time_point now)
{
    if ((!m_added.count && !m_removed.count) || now < m_nextLine)
        return false;
    m_nextLine = now + LineInterval;
    const Changes added = std::exchange(m_added, {});
    const Changes removed = std::exchange(m_removed, {});
    relay::DecisionLog::state(m_what,
        { { "size", size }, { "added", added.count }, { "removed", removed.count },
            { "first_added", toJson(added.first) }, { "first_removed", toJson(removed.first) },
            { "revision", m_revision } });
    return true;
}

} // namespace crocusmount
