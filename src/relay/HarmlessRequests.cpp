#include "relay/HarmlessRequests.h"

namespace crocusmount::relay {

namespace {

    /// About 0.5 MB. A popular request is added again before this many others have run and evicted it.
    constexpr std::size_t MaxRequests = 4096;

} // namespace

void HarmlessRequests::add(const RequestIdentity& request)
{
    if (!m_requests.insert(request).second)
        return;
    m_insertionOrder.push_back(request);
    if (m_insertionOrder.size() <= MaxRequests)
        return;
    m_requests.erase(m_insertionOrder.front());
    m_insertionOrder.pop_front();
}

} // namespace crocusmount::relay
