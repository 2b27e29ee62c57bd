#pragma once

#include "relay/RequestIdentity.h"

#include <deque>
#include <set>

namespace crocusmount::relay {

/// The requests that have lately run soundly here, so many of them as are worth their memory.
///
/// The load pattern that it answers: many callers send one popular request, so that it is beginning at every server of
/// a service at any moment. When these end together, it would look like the cause of each end.
class SoundRequests {
public:
    void add(const RequestIdentity&);
    bool contains(const RequestIdentity& request) const { return m_known.count(request) != 0; }

private:
    std::set<RequestIdentity> m_known;
    std::deque<RequestIdentity> m_byAge; ///< the same, oldest first
};

} // namespace crocusmount::relay
