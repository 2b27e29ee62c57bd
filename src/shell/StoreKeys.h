#pragma once

#include "crocusmount/Ids.h"

#include <cstdint>
#include <string>

/// Keys of crocusmount's data in the platform's store.
namespace crocusmount::storekeys {

/// Prefix of all keys of the configuration.
inline const std::string configurationPrefix = "/crocusmount/config/";
/// Every write of the configuration changes this key.
inline const std::string configurationHead = "/crocusmount/config/head";
/// Prefix of the configured objects, followed by "KIND/ID".
inline const std::string configurationObjects = "/crocusmount/config/objects/";

/// Key of a shard's head, which holds the sequence number of the last batch. "head" sorts after "batch/...", so that
/// one range read returns the batches after a sequence number together with the head.
std::string claimHead(ShardId);
/// Key of one batch of claims.
/// @param sequence  sequence number of the batch; the keys of a shard sort in this order
std::string claimBatch(ShardId, std::uint64_t sequence);

} // namespace crocusmount::storekeys
