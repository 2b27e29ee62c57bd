#pragma once

#include "crocusmount/Time.h"
#include "relay/RequestTrait.h"

#include <array>
#include <list>
#include <map>
#include <vector>

namespace crocusmount::relay {

/// A request that has made progress at a server for this long is considered harmless to servers.
constexpr Duration MinHarmlessRun = std::chrono::milliseconds(300);

/// A bounded set of the traits of requests that have recently run without crashing their server. When the set is full,
/// adding a trait evicts the one whose last run is the longest ago.
///
/// Traits in the set are not suspected of crashing a server. Without this exemption, a popular trait would look like
/// the cause when all servers of a service end together, because at any time requests with it are just beginning to run
/// on each of them. A trait may become harmful later, for example with new weights, so the exemption expires.
class HarmlessTraits {
public:
    /// Records that a request with all of these traits has run.
    void add(const std::vector<RequestTrait>&, TimePoint now);
    bool contains(const RequestTrait&, TimePoint now) const;
    void remove(const RequestTrait&);

private:
    /// The traits of one kind. Contents are not shared by many requests, so they must not evict parts.
    struct Kind {
        std::list<RequestTrait> byLastRun; ///< the latest last
        struct Entry {
            TimePoint lastRunAt;
            std::list<RequestTrait>::iterator position;
        };
        std::map<RequestTrait, Entry> entries;

        void add(const RequestTrait&, TimePoint now);
    };

    std::array<Kind, std::variant_size_v<decltype(RequestTrait::value)>> m_kinds;
};

} // namespace crocusmount::relay
