#pragma once

#include "crocusmount/Ids.h"

#include <absl/container/flat_hash_set.h>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <vector>

namespace crocusmount {

/// The queue of waiting requests of one pipeline. Requests of higher priority go first. Within a priority, workspaces
/// are served by weighted fair queueing: each has a virtual time that advances by cost / weight with each of its
/// requests that is removed, and the workspace with the lowest virtual time is served next.
class FairQueue {
public:
    struct Waiting {
        RequestId request;
        double cost = 1;
        bool isPreferred = false; ///< goes before the others of its workspace and priority
    };

    /// Appends a request to the queue of its workspace, or to the preferred ones at its front.
    /// @param weight    the workspace's weight; 0 counts as 1
    /// @param priority  higher values go first
    void push(const WorkspaceId&, std::uint32_t weight, int priority, Waiting);
    /// Puts a request back at the front of its workspace's queue, without charging its cost again.
    void pushFront(const WorkspaceId&, std::uint32_t weight, int priority, RequestId);
    /// Removes the next request.
    /// @return the request, or nothing if the queue is empty
    std::optional<RequestId> pop();
    /// @param passedOver  requests that keep their place and are not served now; their cost is not charged
    /// @return the request to be served next, or nothing if all others are passed over
    std::optional<RequestId> next(const absl::flat_hash_set<RequestId>& passedOver) const;
    /// @return how many requests will be served before this one unless others arrive; nothing if it is not in the queue
    std::optional<std::size_t> positionOf(RequestId) const;
    /// @return the requests in the order in which they will be served unless others arrive
    std::vector<RequestId> order() const;
    /// Removes a request as served: its cost is charged to its workspace.
    /// @return whether the request was in the queue
    bool serve(RequestId);
    /// Removes a request, wherever it is in the queue.
    /// @return whether the request was in the queue
    bool erase(RequestId);
    std::size_t size() const { return m_size; }
    bool empty() const { return !m_size; }
    /// @return an estimate of how many requests would be served before a new one of this workspace, with each workspace
    ///         served in proportion to its weight
    std::size_t aheadOf(const WorkspaceId&, int priority) const;

private:
    /// The requests of one workspace within one priority.
    struct WorkspaceQueue {
        std::deque<Waiting> waiting;
        double virtualTime = 0; ///< sum of cost / weight, from the priority's virtual time when the queue was created
        std::uint32_t weight = 1;
    };
    struct PriorityLevel {
        std::map<WorkspaceId, WorkspaceQueue> queues;
        double virtualTime = 0; ///< highest virtual time at which a request was removed
    };

    bool remove(RequestId, bool isServed);
    /// Finds or creates the queue of a workspace and updates its weight.
    WorkspaceQueue& queueOf(const WorkspaceId&, std::uint32_t weight, int priority);
    /// Removes the queue of a workspace if it is empty and no longer needed, and a priority without waiting requests.
    void removeIfEmpty(int priority, const WorkspaceId&);

    std::map<int, PriorityLevel, std::greater<>> m_levels; ///< by priority, the highest first
    std::size_t m_size = 0;
};

} // namespace crocusmount
