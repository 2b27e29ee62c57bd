#pragma once

#include "crocusmount/Ids.h"
#include "crocusmount/Time.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

/// The configuration of the relay: which calls go to which services, within which limits. Plain data.
namespace crocusmount::relay {

using RouteId = StrongId<struct RouteTag, std::string>;
using ServiceId = StrongId<struct ServiceTag, std::string>;

/// What may be done again with a call.
enum class CallKind {
    Idempotent, ///< may run more than once
    NonIdempotent, ///< runs at most once
    Stream, ///< a stream of events that runs at most once
    ResumableStream, ///< a stream that may go on at another server after its last delivered event
};

constexpr bool isStream(CallKind kind) { return kind == CallKind::Stream || kind == CallKind::ResumableStream; }
constexpr bool isRepeatable(CallKind kind) { return kind == CallKind::Idempotent || kind == CallKind::ResumableStream; }

/// One service's part of a route's calls.
struct TrafficShare {
    ServiceId service;
    std::uint32_t weight = 1;
};

struct Route {
    RouteId id;
    std::string host;
    std::string prefix; ///< begins and ends with a slash
    CallKind kind = CallKind::NonIdempotent;
    Duration timeout = std::chrono::seconds(10); ///< longest time until the final answer
    Duration objective = std::chrono::milliseconds(500); ///< to the answer; of a stream, to its first event
    int rank = 5; ///< 0 is the most urgent
    std::uint32_t maxAttempts = 1; ///< servers that one call may be sent to
    bool anonymous = false; ///< needs no key
    std::vector<TrafficShare> split; ///< at least one
};

/// A kind of card that engines run on.
struct AcceleratorKind {
    std::string name;
    double memoryMb = 0;
    double stepFactor = 1; ///< its steps take this many times as long as the model's figures say
};

/// Figures of a model whose layers are spread over engines.
struct EngineModel {
    std::string model;
    std::uint32_t layers = 1;
    double layerMb = 0;
    double kvBytesPerToken = 0; ///< over all layers
    double stepMs = 1; ///< one token through all layers on the reference card
    std::uint32_t stride = 1; ///< steps of one pass
    double loadSeconds = 0; ///< of all layers
    double usualTokens = 1000; ///< prompt and answer of a usual call
    std::vector<AcceleratorKind> kinds;

    /// @return the kind of that name, or null
    const AcceleratorKind* kind(const std::string& name) const;
    /// @return tokens times layers of KV cache beside a number of held layers; zero where they do not fit
    double kvTokenLayers(const AcceleratorKind&, std::uint32_t heldLayers) const;
};

struct Service {
    ServiceId id;
    std::optional<EngineModel> engine; ///< absent for a plain service
    std::string healthPath {}; ///< at which a server names the start that it is; empty: none
};

/// What one caller may take.
struct CallLimits {
    std::uint32_t headerBytes = 16384;
    std::uint64_t bodyBytes = 1U << 20U;
    Duration headerTimeout = std::chrono::seconds(3);
    Duration idleTimeout = std::chrono::seconds(15);
};

struct KeyHolder {
    WorkspaceId workspace;
    std::vector<std::string> keys;
    std::optional<int> rank; ///< goes before that of the route
};

struct ServiceConfiguration {
    std::uint64_t version = 0;
    std::vector<Route> routes;
    std::vector<Service> services;
    std::vector<KeyHolder> workspaces; ///< empty: calls need no key
    CallLimits limits;
};

} // namespace crocusmount::relay
