#pragma once

#include "edge/InstanceRegistry.h"
#include "edge/PlannerLock.h"
#include "edge/QuarantineStore.h"
#include "edge/RelayNode.h"
#include "platform/PlatformFollower.h"
#include "platform/WireNames.h"
#include "relay/RouteTable.h"
#include "tests/RelayHarness.h"
#include "tests/fakes/RecordingStore.h"
#include "tests/fakes/RefusingEngineControl.h"

#include <boost/json.hpp>
#include <string>

namespace crocusmount::relay {

inline const char* const ValidEntry = R"({"backend":"model","address":"1.2.3.4:5","zone":"z","version":"v1","slots":192,
    "state":"draining","cold_remaining_ms":0,"seq":3,"born":1768184554039,"route_type":"card",
    "layers":{"from":2,"target":7,"version":1}})";

/// @param json  new value of the field
/// @return ValidEntry with another value of one field
inline std::string validEntryWith(const char* field, const char* json)
{
    boost::json::object object = boost::json::parse(ValidEntry).as_object();
    object[field] = boost::json::parse(json);
    return boost::json::serialize(object);
}

/// The parts of an instance that apply changes of the store, with the configuration of RelayHarness in force.
struct StoreReader {
    net::io_context context { BOOST_ASIO_CONCURRENCY_HINT_UNSAFE };
    RefusingEngineControl control;
    RelayNode node { context, {}, platform::headerNames(), control };
    RecordingStore store;
    InstanceRegistry registry { context, store, store, { "self", "1.1.1.1:1", "z", "" } };
    PlannerLock lock { context, store, store, registry };
    QuarantineStore quarantine { context, store, node, registry };
    platform::PlatformFollower follower { node, registry, lock, quarantine };

    StoreReader()
    {
        node.post(relay::event::ConfigurationAccepted { RouteTable::make(RelayHarness::configuration()) });
    }

    std::string servers() const
    {
        std::string ids;
        for (const auto& [id, server] : node.reducer().fleet().servers())
            ids += id.value() + " ";
        return ids;
    }
};

} // namespace crocusmount::relay
