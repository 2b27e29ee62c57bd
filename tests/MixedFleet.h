#pragma once

#include "relay/CallPlacer.h"

#include <functional>
#include <memory>
#include <queue>
#include <vector>

namespace crocusmount::relay {

/// Simulates engines of uneven speed on a virtual clock, and instances that place streams on them with a CallPlacer
/// each. An engine works in passes that run the events waiting there and read pieces of prompts. It rejects calls
/// beyond its slots or memory. Chains between data centres share one pipe. There is one data centre with four large
/// accelerators, one with three and one with two, with 48 medium and 36 small ones beside them. Their layers are those
/// that LayerPlanner orders.
class MixedFleet {
public:
    struct Options {
        std::size_t instances = 9;
        double callsPerSecond = 200; ///< over all instances
        std::uint64_t seed = 1;
        DisabledMechanisms without {};
    };
    /// What became of the calls that arrived while they were counted.
    struct Result {
        std::size_t calls = 0;
        std::size_t late = 0; ///< first event or longest pause not on time, or refused
        std::size_t latePauses = 0; ///< first event on time, but a pause is not
        std::size_t refused = 0; ///< calls for which no server was found in time, or that were rejected too often
        std::size_t arrivals = 0; ///< attempts that reached an engine
        std::size_t rejected = 0; ///< of these, the ones that an engine rejected as full
        double crossedBytes = 0; ///< between data centres
        double busiestShare = 0; ///< arrivals at the busiest first stage as a multiple of the mean over all engines
        double meanEventMs = 0;

        double lateShare() const
        {
            return static_cast<double>(late) / static_cast<double>(std::max<std::size_t>(1, calls));
        }
        double rejectedShare() const
        {
            return static_cast<double>(rejected) / static_cast<double>(std::max<std::size_t>(1, arrivals));
        }
        double bytesPerCall() const { return crossedBytes / static_cast<double>(std::max<std::size_t>(1, calls)); }
    };

    explicit MixedFleet(Options);

    /// Counts the calls that arrive in a time, after a time in which the engines fill up.
    Result run(Duration warmUp, Duration counted);

    /// @return a model with 80 layers, and all times of its engines
    static EngineModel model();
    /// @return the route, service and model of the calls
    static ServiceConfiguration configuration();
    /// @return the engines with their layers
    static std::vector<RegisteredServer> engines();

private:
    struct Instance {
        ServerFleet fleet;
        std::unique_ptr<CallPlacer> placer;
        RelayOptions options;
    };
    struct Stream {
        Call call;
        std::size_t instance = 0;
        std::vector<std::size_t> engines; ///< of the stages
        std::size_t stage = 0; ///< where its event or its prompt is
        bool isRead = false; ///< whether all stages have read the prompt
        double unreadTokens = 0; ///< of the prompt, at the present stage
        double promptTokens = 0;
        double answerTokens = 0;
        double madeTokens = 0;
        TimePoint lastEventAt;
        Duration longestPause {};
        bool isCounted = false;
        bool isFirstLate = false;
        bool isRunning = false; ///< accepted and not ended
    };
    struct Engine {
        RegisteredServer entry;
        const AcceleratorKind* kind = nullptr;
        std::uint32_t calls = 0; ///< that have it as first stage
        double tokenLayers = 0; ///< KV cache in use
        std::vector<std::size_t> waitingEvents; ///< streams
        std::vector<std::size_t> waitingPrompts; ///< streams, in order of arrival
        bool isBusy = false;
        std::size_t arrivals = 0;
    };
    struct Action {
        TimePoint at;
        std::uint64_t sequence;
        std::function<void()> run;
        bool operator>(const Action& other) const { return at != other.at ? at > other.at : sequence > other.sequence; }
    };

    void at(TimePoint, std::function<void()>);
    double random() { return uniformFractionOf(++m_randomUses); }
    double uniformFractionOf(std::uint64_t use) const;
    void arrive();
    void place(std::size_t stream, TimePoint giveUpAt);
    void start(std::size_t stream, const Placement&, TimePoint giveUpAt);
    /// @return the first stage that has no room for a stream, or null
    const Engine* fullEngine(const Stream&, const Chain&) const;
    void reject(std::size_t stream, const BackendId& server, TimePoint giveUpAt);
    void enterStage(std::size_t stream);
    void startPass(std::size_t engine);
    void finishPass(std::size_t engine, const std::vector<std::size_t>& ran, const std::vector<std::size_t>& read);
    void passOn(std::size_t stream, double tokens);
    void makeEvent(std::size_t stream);
    void end(std::size_t stream);
    void refuse(Stream&);
    void exchangeLoads();

    Options m_options;
    EngineModel m_model;
    std::shared_ptr<const RouteTable> m_routes;
    std::vector<Engine> m_engines;
    std::vector<Instance> m_instances;
    std::vector<Stream> m_streams;
    std::priority_queue<Action, std::vector<Action>, std::greater<>> m_actions;
    std::uint64_t m_sequence = 0;
    std::uint64_t m_randomUses = 0;
    TimePoint m_now = timePoint(1000000);
    TimePoint m_countFrom;
    TimePoint m_countUntil;
    TimePoint m_pipeFreeAt;
    double m_eventMsSum = 0;
    std::size_t m_events = 0;
    Result m_result;
};

} // namespace crocusmount::relay
