#pragma once

#include "relay/ServerFleet.h"
#include "relay/ServiceConfiguration.h"

namespace crocusmount::relay {

/// Estimates from the registry how many calls the available servers of a service run at the same time. For a model this
/// is what the weakest layer carries: each call needs KV cache memory in all layers, and a slot at its first stage.
/// @return calls of all instances; zero if the servers can't run any, as no chain covers the model
double carriedCalls(const ServerFleet&, const Service&);

} // namespace crocusmount::relay
