#include "relay/SoundRequests.h"

namespace crocusmount::relay {

namespace {

    /// Some 0.5 MB. A request that is popular comes again before so many others have run.
    constexpr std::size_t MostRemembered = 4096;

} // namespace

void SoundRequests::add(const RequestIdentity& request)
{
    if (!m_known.insert(request).second)
        return;
    m_byAge.push_back(request);
    if (m_byAge.size() <= MostRemembered)
        return;
    m_known.erase(m_byAge.front());
    m_byAge.pop_front();
}

} // namespace crocusmount::relay
