#pragma once

#include "relay/RelayReducer.h"
#include "relay/RouteTable.h"

#include <optional>
#include <string>

namespace crocusmount::relay {

/// Runs a relay reducer on a virtual clock. It has a model of 8 layers on engines "a" (layers 0-4), "b" (4-8), "c"
/// (0-4) and "d" (4-8), and a plain service on servers "x" and "y".
///
/// Each route allows two attempts and accepts the key "key" of workspace "w":
/// - "/draft/": resumable stream
/// - "/once/": stream that must not run twice
/// - "/look/": idempotent call to the plain service
/// - "/book/": call to the plain service that is not idempotent
class RelayHarness {
public:
    explicit RelayHarness(RelayOptions = {});

    static ServiceConfiguration configuration(std::uint64_t version = 1);
    static RegisteredServer engine(const std::string& id, std::uint32_t begin, std::uint32_t end);
    static RegisteredServer plain(const std::string& id);

    /// Sends an event at the current time.
    /// @return its effects
    const RelayEffects& send(RelayEventBody);
    /// Advances the clock and sends a tick.
    void tick(Duration);
    /// Sends a new call, which repeats no earlier request.
    /// @return the call's id; effects() then holds the effects of its arrival
    RequestId call(const std::string& path, const std::string& key = "key");
    /// Sends a call that must be started at once, then the bytes of its attempt and some events.
    /// @param events  number of events, which get the ids 1, 2, ...
    /// @return the attempt
    effect::StartAttempt running(const std::string& path, std::uint64_t events = 0);
    /// Sends what an answer to an attempt states about its server.
    void notice(const effect::StartAttempt&, const ServerNotice&);
    /// Delivers events with the ids first to last.
    /// @param gap  time that the clock advances before each event
    void events(AttemptId, std::uint64_t first, std::uint64_t last, Duration gap = std::chrono::milliseconds(20));

    /// @return the last effect of a type among the effects of the latest event or tick
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

    /// @return all effects of the latest event or tick
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
