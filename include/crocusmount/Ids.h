#pragma once

#include "crocusmount/StrongId.h"

#include <cstdint>

namespace crocusmount {

/// A request of a caller. Unique within one run of the instance that received it.
using RequestId = StrongId<struct RequestTag, std::uint64_t>;
/// One attempt to run a request on one chain. Unique within one run of an instance.
using AttemptId = StrongId<struct AttemptTag, std::uint64_t>;
/// An entry instance of crocusmount.
using InstanceId = StrongId<struct InstanceTag, std::string>;
/// A backend server: a model engine or a plain service.
using BackendId = StrongId<struct BackendTag, std::string>;
/// The time at which a process of a backend server started, in Unix milliseconds by its own clock; 0 if it does not
/// report a time. BackendId and StartTime together identify one process.
using StartTime = StrongId<struct StartTimeTag, std::int64_t>;
/// A workspace of a customer.
using WorkspaceId = StrongId<struct WorkspaceTag, std::string>;
/// A part of a prompt that several requests may share, such as a system prompt: lower-case hexadecimal digits without
/// leading zeros.
using PromptPartId = StrongId<struct PromptPartTag, std::string>;
/// A pipeline: a model or a plain service for use by callers.
using PipelineId = StrongId<struct PipelineTag, std::string>;
/// A data centre in which instances and backend servers run.
using DataCentreId = StrongId<struct DataCentreTag, std::string>;
/// A revision of the platform's store. It increases with every accepted write; 0 stands for no revision.
using Revision = StrongId<struct RevisionTag, std::int64_t>;
/// The number of times the layers held by an engine have changed.
using Generation = StrongId<struct GenerationTag, std::uint64_t>;
/// A shard of the claim log.
using ShardId = StrongId<struct ShardTag, std::uint32_t>;

} // namespace crocusmount
