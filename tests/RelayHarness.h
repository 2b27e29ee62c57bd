#pragma once

#include "relay/RelayReducer.h"
#include "relay/RouteTable.h"

#include <optional>
#include <string>

namespace crocusmount::relay {

/// One relay reducer on a virtual clock, with a model of 8 layers on engines "a" (0-4), "b" (4-8), "c" (0-4) and "d"
/// (4-8), and a plain service on "x" and "y". Routes: "/draft/" resumable stream, "/once/" stream that runs once,
/// "/look/" idempotent, "/book/" not idempotent; two attempts each, key "key" of workspace "w".
class RelayHarness {
public:
    explicit RelayHarness(RelayOptions = {});

    static ServiceConfiguration configuration(std::uint64_t version = 1);
    static RegisteredServer engine(const std::string& id, std::uint32_t begin, std::uint32_t end);
    static RegisteredServer plain(const std::string& id);

    const RelayEffects& send(RelayEventBody);
    void tick(Duration);
    /// @return the call's id; its effects are the last ones
    RequestId call(const std::string& path, const std::string& key = "key");
    /// Sends a call, its attempt's bytes and some events.
    /// @return the attempt
    effect::StartAttempt running(const std::string& path, std::uint64_t events = 0);
    void events(AttemptId, std::uint64_t first, std::uint64_t last, Duration gap = std::chrono::milliseconds(20));

    /// @return the last effect of a type since the last event or tick
    template <typename T>
    std::optional<T> last() const
    {
        std::optional<T> found;
        for (const RelayEffect& effect : m_effects) {
            if (const T* match = std::get_if<T>(&effect))
                found = *match;
        }
        return found;
    }

    /// @return all effects of the last event or tick
    const RelayEffects& effects() const { return m_effects; }
    RelayReducer& reducer() { return m_reducer; }
    TimePoint now() const { return m_now; }

private:
    RelayReducer m_reducer;
    RelayEffects m_effects;
    TimePoint m_now = timePoint(1000000);
    std::uint64_t m_entropy = 1;
    std::uint64_t m_nextCall = 1;
};

} // namespace crocusmount::relay
