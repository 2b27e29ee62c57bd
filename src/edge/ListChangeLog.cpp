#include "edge/ListChangeLog.h"

#include "edge/DecisionLog.h"

#include <utility>

namespace crocusmount {

namespace {

    constexpr std::chrono::milliseconds LineInterval { 1000 };
    /// The first few ids show where a fault began, and the counts show its extent.
    constexpr std::size_t MaxIdsPerLine = 8;

    boost::json::array toJson(const std::vector<std::string>& ids)
    {
        boost::json::array list;
        for (const std::string& id : ids)
            list.emplace_back(id);
        return list;
    }

} // namespace

void ListChangeLog::IdSummary::add(const std::string& id)
{
    ++count;
    if (firstIds.size() < MaxIdsPerLine)
        firstIds.push_back(id);
}

void ListChangeLog::added(const std::string& id, std::int64_t revision)
{
    m_added.add(id);
    m_revision = revision;
}

void ListChangeLog::removed(const std::string& id, std::int64_t revision)
{
    m_removed.add(id);
    m_revision = revision;
}

bool ListChangeLog::write(std::size_t size, std::chrono::steady_clock::time_point now)
{
    if ((!m_added.count && !m_removed.count) || now < m_nextLineAt)
        return false;
    m_nextLineAt = now + LineInterval;
    const IdSummary added = std::exchange(m_added, {});
    const IdSummary removed = std::exchange(m_removed, {});
    relay::DecisionLog::state(m_logEvent,
        { { "size", size }, { "added", added.count }, { "removed", removed.count },
            { "first_added", toJson(added.firstIds) }, { "first_removed", toJson(removed.firstIds) },
            { "revision", m_revision } });
    return true;
}

} // namespace crocusmount
