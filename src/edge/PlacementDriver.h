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

/// Orders engines to hold the layers that LayerPlanner assigns to them, while this instance holds the planner's lock.
class PlacementDriver {
public:
    /// All parameters must outlive this.
    PlacementDriver(net::io_context&, relay::RelayNode&, PlannerLock&, EngineControl&);

    /// Starts to plan at regular intervals, in the background.
    void start();

private:
    /// An order whose result the engine has not reported yet.
    struct OutstandingOrder {
        StartTime engineStart; ///< start time of the engine process that got the order; a restart loses the order
        LayerRange layers;
        /// When the order is forgotten. The engine should have reported the layers by then.
        std::chrono::steady_clock::time_point expiresAt;
    };

    Awaitable<void> planLoop();
    /// Plans the layers of one service's engines and sends the orders.
    void planService(const relay::Service&);
    /// @param expected  time until the engine should report the ordered layers
    Awaitable<void> sendOrder(LayerPlanner::Order, relay::FleetServer engine, std::chrono::milliseconds expected);

    net::io_context& m_context;
    relay::RelayNode& m_node;
    PlannerLock& m_lock;
    EngineControl& m_engineControl;
    std::map<BackendId, OutstandingOrder> m_outstandingOrders; ///< by engine
    std::map<relay::ServiceId, PlanTiming> m_planTimings; ///< by service
};

} // namespace crocusmount
