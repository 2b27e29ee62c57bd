#pragma once

#include "relay/RequestIdentity.h"

#include <deque>
#include <set>

namespace crocusmount::relay {

/// A bounded set of requests that have recently run without crashing their server. When the set is full, adding a
/// request evicts the one that was added first.
///
/// Requests in the set are never suspected of crashing a server. Without this exemption, a popular request that many
/// callers send would look like the cause when all servers of a service end together, because at any time it is just
/// beginning to run on each of them.
class HarmlessRequests {
public:
    void add(const RequestIdentity&);
    bool contains(const RequestIdentity& request) const { return m_requests.count(request) != 0; }

private:
    std::set<RequestIdentity> m_requests;
    std::deque<RequestIdentity> m_insertionOrder; ///< all elements of m_requests, oldest first
};

} // namespace crocusmount::relay
