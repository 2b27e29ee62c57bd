#include "admission/FairQueue.h"

#include <algorithm>

namespace crocusmount {

FairQueue::WorkspaceQueue& FairQueue::queueOf(const WorkspaceId& workspace, std::uint32_t weight, int priority)
{
    PriorityLevel& level = m_levels[priority];
    const auto [position, isNew] = level.queues.try_emplace(workspace);
    WorkspaceQueue& queue = position->second;
    if (isNew)
        queue.virtualTime = level.virtualTime;
    queue.weight = std::max(1U, weight);
    return queue;
}

void FairQueue::push(const WorkspaceId& workspace, std::uint32_t weight, int priority, Waiting waiting)
{
    std::deque<Waiting>& queue = queueOf(workspace, weight, priority).waiting;
    const auto position = waiting.isPreferred
        ? std::find_if(queue.begin(), queue.end(), [](const Waiting& each) { return !each.isPreferred; })
        : queue.end();
    queue.insert(position, waiting);
    ++m_size;
}

void FairQueue::pushFront(const WorkspaceId& workspace, std::uint32_t weight, int priority, RequestId request)
{
    queueOf(workspace, weight, priority).waiting.push_front({ request, 0, true });
    ++m_size;
}

std::optional<RequestId> FairQueue::pop()
{
    if (m_levels.empty())
        return std::nullopt;
    const int priority = m_levels.begin()->first;
    PriorityLevel& level = m_levels.begin()->second;
    const auto next = std::min_element(level.queues.begin(), level.queues.end(), [](const auto& a, const auto& b) {
        return std::pair(a.second.waiting.empty(), a.second.virtualTime)
            < std::pair(b.second.waiting.empty(), b.second.virtualTime);
    });
    WorkspaceQueue& queue = next->second;
    const Waiting removed = queue.waiting.front();
    queue.waiting.pop_front();
    level.virtualTime = std::max(level.virtualTime, queue.virtualTime);
    queue.virtualTime += removed.cost / queue.weight;
    --m_size;
    const WorkspaceId workspace = next->first;
    removeIfEmpty(priority, workspace);
    return removed.request;
}

void FairQueue::removeIfEmpty(int priority, const WorkspaceId& workspace)
{
    const auto level = m_levels.find(priority);
    const auto queue = level->second.queues.find(workspace);
    if (!queue->second.waiting.empty())
        return;
    // A workspace whose virtual time is ahead of the others keeps it while they wait, so that it gains nothing by
    // emptying its queue and sending again.
    if (queue->second.virtualTime <= level->second.virtualTime || level->second.queues.size() == 1)
        level->second.queues.erase(queue);
    const auto hasWaiting = [](const auto& each) { return !each.second.waiting.empty(); };
    if (std::none_of(level->second.queues.begin(), level->second.queues.end(), hasWaiting))
        m_levels.erase(level);
}

std::optional<RequestId> FairQueue::next(const absl::flat_hash_set<RequestId>& passedOver) const
{
    for (const auto& [priority, level] : m_levels) {
        const WorkspaceQueue* best = nullptr;
        std::optional<RequestId> first;
        for (const auto& [workspace, queue] : level.queues) {
            if (best && best->virtualTime <= queue.virtualTime)
                continue;
            const auto found = std::find_if(queue.waiting.begin(), queue.waiting.end(),
                [&](const Waiting& waiting) { return !passedOver.contains(waiting.request); });
            if (found == queue.waiting.end())
                continue;
            best = &queue;
            first = found->request;
        }
        if (first)
            return first;
    }
    return std::nullopt;
}

std::vector<RequestId> FairQueue::order() const
{
    FairQueue copy(*this);
    std::vector<RequestId> order;
    order.reserve(m_size);
    while (const auto next = copy.pop())
        order.push_back(*next);
    return order;
}

std::optional<std::size_t> FairQueue::positionOf(RequestId request) const
{
    const std::vector<RequestId> all = order();
    const auto found = std::find(all.begin(), all.end(), request);
    if (found == all.end())
        return std::nullopt;
    return static_cast<std::size_t>(found - all.begin());
}

bool FairQueue::serve(RequestId request) { return remove(request, true); }

bool FairQueue::erase(RequestId request) { return remove(request, false); }

bool FairQueue::remove(RequestId request, bool isServed)
{
    for (auto& [priority, level] : m_levels) {
        for (auto& [workspace, queue] : level.queues) {
            const auto found = std::find_if(queue.waiting.begin(), queue.waiting.end(),
                [&](const Waiting& waiting) { return waiting.request == request; });
            if (found == queue.waiting.end())
                continue;
            if (isServed) {
                level.virtualTime = std::max(level.virtualTime, queue.virtualTime);
                queue.virtualTime += found->cost / queue.weight;
            }
            queue.waiting.erase(found);
            --m_size;
            removeIfEmpty(priority, WorkspaceId(workspace));
            return true;
        }
    }
    return false;
}

std::size_t FairQueue::aheadOf(const WorkspaceId& workspace, int priority) const
{
    std::size_t ahead = 0;
    for (const auto& [levelPriority, level] : m_levels) {
        if (levelPriority < priority)
            break;
        const auto own = level.queues.find(workspace);
        const std::size_t ownLength
            = levelPriority == priority ? (own == level.queues.end() ? 0 : own->second.waiting.size()) : 0;
        const double ownWeight = own == level.queues.end() ? 1 : own->second.weight;
        for (const auto& [id, queue] : level.queues) {
            const auto maxAhead
                = static_cast<std::size_t>(static_cast<double>(ownLength + 1) * queue.weight / ownWeight);
            const bool isLimited = levelPriority == priority && id != workspace;
            ahead += isLimited ? std::min(queue.waiting.size(), maxAhead) : queue.waiting.size();
        }
    }
    return ahead;
}

} // namespace crocusmount
