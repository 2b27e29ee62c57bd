#pragma once

#include "crocusmount/Time.h"
#include "relay/RequestTrait.h"

#include <array>
#include <list>
#include <map>
#include <optional>
#include <vector>

namespace crocusmount::relay {

/// A request that has made progress at a server for this long is considered harmless to servers.
constexpr Duration MinHarmlessRun = std::chrono::milliseconds(300);

/// A bounded set of the traits of requests that have recently run without crashing their server. When the set is full,
/// adding a trait evicts the one whose last run is the longest ago.
///
/// A run is evidence against the crashes of servers that ended before it began. A trait may become harmful later, for
/// example with new weights, so a run says nothing about servers that ended since. A popular trait has runs all the
/// time, but not while all servers of a service are down, so more evidence is needed against a trait in the set.
class HarmlessTraits {
public:
    /// Records that a request with all of these traits has run.
    /// @param begunAt  when its server began to run it
    void add(const std::vector<RequestTrait>&, TimePoint begunAt, TimePoint now);
    bool contains(const RequestTrait& trait, TimePoint now) const { return lastBegunAt(trait, now).has_value(); }
    /// @return when the latest run with the trait began; nothing if the trait is not in the set
    std::optional<TimePoint> lastBegunAt(const RequestTrait&, TimePoint now) const;

private:
    /// The traits of one kind. Contents are not shared by many requests, so they must not evict parts.
    struct Kind {
        std::list<RequestTrait> byLastRun; ///< the latest last
        struct Entry {
            TimePoint lastRunAt;
            TimePoint lastBegunAt;
            std::list<RequestTrait>::iterator position;
        };
        std::map<RequestTrait, Entry> entries;

        void add(const RequestTrait&, TimePoint begunAt, TimePoint now);
    };

    std::array<Kind, std::variant_size_v<decltype(RequestTrait::value)>> m_kinds;
};

} // namespace crocusmount::relay
