#pragma once

#include "edge/EngineControl.h"
#include "planning/LayerPlanner.h"
#include "planning/PlanTiming.h"

#include <map>

namespace crocusmount {

class PlannerLock;

namespace relay {
    struct FleetServer;
    class RelayNode;
}

/// While this instance is the planner, orders engines to hold what LayerPlanner says.
class PlacementDriver {
public:
    PlacementDriver(net::io_context&, relay::RelayNode&, const PlannerLock&, EngineControl&);

    void start();

private:
    struct Outstanding {
        StartTime engineStart; ///< of the engine that took the order; a later start knows nothing of it
        LayerRange layers;
        std::chrono::steady_clock::time_point until; ///< by then it should be reported
    };

    Awaitable<void> planLoop();
    void planService(const relay::Service&);
    Awaitable<void> give(LayerPlanner::Order, relay::FleetServer engine, std::chrono::milliseconds expected);

    net::io_context& m_context;
    relay::RelayNode& m_node;
    const PlannerLock& m_lock;
    EngineControl& m_control;
    std::map<BackendId, Outstanding> m_outstanding;
    std::map<relay::ServiceId, PlanTiming> m_timings;
};

} // namespace crocusmount
