#pragma once

#include "crocusmount/Ids.h"
#include "crocusmount/Time.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

/// Configuration of the relay: which calls are routed to which services, and with which limits.
namespace crocusmount::relay {

using RouteId = StrongId<struct RouteTag, std::string>;
using ServiceId = StrongId<struct ServiceTag, std::string>;

/// Whether a call may run more than once, and how its answer is delivered.
enum class CallKind {
    Idempotent, ///< may run more than once
    NonIdempotent, ///< runs at most once
    Stream, ///< its answer is a stream of events; runs at most once
    ResumableStream, ///< its answer is a stream that another server may resume after the last delivered event
};

constexpr bool isStream(CallKind kind) { return kind == CallKind::Stream || kind == CallKind::ResumableStream; }
constexpr bool isRepeatable(CallKind kind) { return kind == CallKind::Idempotent || kind == CallKind::ResumableStream; }

/// The share of a route's calls that one service receives.
struct TrafficShare {
    ServiceId service;
    std::uint32_t weight = 1; ///< relative to the sum of all weights of the route
};

/// Assigns the calls with a host and a path prefix to services.
struct Route {
    RouteId id;
    std::string host; ///< as in the Host header of the call
    std::string prefix; ///< path prefix, begins and ends with a slash
    CallKind kind = CallKind::NonIdempotent;
    Duration timeout = std::chrono::seconds(10); ///< maximum time from the arrival of a call to the end of its answer
    Duration objective = std::chrono::milliseconds(500); ///< target latency of the answer, or of a stream's first event
    Duration pauseAim {}; ///< longest pause between a stream's events that is on time; zero if the route names none
    int rank = 5; ///< 0 is the most urgent
    std::uint32_t maxAttempts = 1; ///< maximum number of servers that may run one call
    bool anonymous = false; ///< whether calls need no API key
    std::vector<TrafficShare> split; ///< at least one
};

/// A kind of accelerator that engines run on.
struct AcceleratorKind {
    std::string name;
    double memoryMb = 0; ///< total memory, in units of 10^6 bytes
    double stepFactor = 1; ///< time of a step as a multiple of EngineModel::stepMs
};

/// Properties of a model whose layers are distributed over engines.
struct EngineModel {
    std::string model; ///< name of the model
    std::uint32_t layers = 1; ///< number of layers
    double layerMb = 0; ///< memory that one layer needs, in units of 10^6 bytes
    double kvBytesPerToken = 0; ///< size of the KV cache of one token in all layers
    double stepMs = 1; ///< time of one token in all layers on the reference accelerator
    std::uint32_t stride = 1; ///< number of steps in one pass, which produces one event
    double loadSeconds = 0; ///< time to load all layers
    double usualTokens = 1000; ///< prompt and answer tokens of a typical call
    std::vector<AcceleratorKind> kinds; ///< all kinds of accelerators that may run the model

    /// @return the kind of accelerator with a name, or null
    const AcceleratorKind* kind(const std::string& name) const;
    /// @param heldLayers  number of layers that the engine on this accelerator holds
    /// @return KV cache capacity of the remaining memory, in tokens times layers; zero if the layers do not fit
    double kvTokenLayers(const AcceleratorKind&, std::uint32_t heldLayers) const;
};

/// A service that calls can be routed to.
struct Service {
    ServiceId id;
    std::optional<EngineModel> engine; ///< absent for a plain service
    std::string healthPath {}; ///< path at which a server names its running start; empty if it has none
};

/// Limits of the size and duration of one caller's requests.
struct CallLimits {
    std::uint32_t headerBytes = 16384; ///< maximum size of a request header
    std::uint64_t bodyBytes = 1U << 20U; ///< maximum size of a request body
    Duration headerTimeout = std::chrono::seconds(3); ///< maximum time to receive a request header
    Duration idleTimeout = std::chrono::seconds(15); ///< maximum wait for a next request, and time to receive a body
};

/// A workspace with its API keys.
struct WorkspaceKeys {
    WorkspaceId workspace;
    std::vector<std::string> keys; ///< API keys
    std::optional<int> rank; ///< overrides Route::rank
};

/// The complete configuration of the relay.
struct ServiceConfiguration {
    std::uint64_t version = 0;
    std::vector<Route> routes;
    std::vector<Service> services;
    std::vector<WorkspaceKeys> workspaces; ///< if empty, calls need no API key
    CallLimits limits;
};

} // namespace crocusmount::relay
