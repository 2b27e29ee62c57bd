#pragma once

#include "crocusmount/Reducer.h"

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace crocusmount {

/// A reducer with a small configuration and a virtual clock, to which a test sends events one by one. Each call that
/// sends an event replaces the effects of the event before.
class ReducerHarness {
public:
    explicit ReducerHarness(const ReducerOptions& = defaultOptions());

    /// @return the default options for instance "e1" in data centre "dc1"
    static ReducerOptions defaultOptions();

    /// Applies a configuration with workspace "w" without labels, workspace "v" with the label tier=gold, pipelines "p"
    /// and "gold" of model "m" with 4 layers, and engines a1, a2, b1 and b2. Pipeline "gold" requires the label
    /// tier=gold.
    void configure();
    /// Sends a report of an engine that holds layers begin to end - 1 of model "m".
    void report(const std::string& backend, std::uint32_t begin, std::uint32_t end, std::uint64_t generation = 1);
    /// Sends reports of all four engines: a1 and a2 hold layers 0 and 1, b1 and b2 hold layers 2 and 3.
    void reportAll();

    /// Sends an event at the current time of the virtual clock.
    /// @return the effects of the event
    const Effects& send(EventBody);
    /// Advances the virtual clock and sends a tick.
    const Effects& tick(Duration);
    /// Sends a request.
    /// @return the id of the request
    RequestId request(RequestSpec);
    /// @return a repeatable request of workspace "w" to pipeline "p" without an idempotency key
    static RequestSpec spec(std::uint32_t tokens = 3);
    /// @return a request that must not run twice, with an idempotency key
    static RequestSpec nonRepeatableSpec(const std::string& key);

    /// @return the last effect of type T among the effects of the last event
    template <typename T>
    std::optional<T> last() const
    {
        std::optional<T> found;
        for (const Effect& effect : m_effects) {
            if (const T* match = std::get_if<T>(&effect))
                found = *match;
        }
        return found;
    }
    /// @return number of effects of type T among the effects of the last event
    template <typename T>
    std::size_t count() const
    {
        std::size_t number = 0;
        for (const Effect& effect : m_effects)
            number += std::holds_alternative<T>(effect);
        return number;
    }

    /// Advances the virtual clock by 1 ms and sends a token of an attempt with the trace of its chain.
    const Effects& token(const effect::StartAttempt&, std::uint32_t index);

    Reducer& reducer() { return *m_reducer; }
    TimePoint now() const { return m_now; }
    /// @return the counter of a reason, see Counters
    std::uint64_t refused(Reason reason) const;
    std::uint64_t retried(Reason reason) const;
    std::uint64_t dropped(Reason reason) const;

private:
    std::unique_ptr<Reducer> m_reducer;
    Effects m_effects;
    TimePoint m_now = timePoint(1000000);
    std::uint64_t m_entropy = 1;
    std::uint64_t m_nextRequest = 1;
};

} // namespace crocusmount
