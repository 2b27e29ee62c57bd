#pragma once

#include "crocusmount/Ids.h"
#include "crocusmount/Labels.h"
#include "crocusmount/Time.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace crocusmount {

/// The type of work of a pipeline. It determines the priority of its requests.
enum class PipelineKind {
    Generation, ///< long streams of tokens
    Lookup, ///< short requests that are dispatched before generations
    Service, ///< calls of a plain service (one backend server, one answer); dispatched before generations
};

/// A workspace of a customer.
struct Workspace {
    WorkspaceId id;
    Labels labels;
    std::uint32_t weight = 1; ///< relative share of the capacity when workspaces compete for it
    std::vector<std::string> tokenSha256; ///< SHA-256 of each bearer token, in lower-case hex digits
};

/// A model whose layers are distributed over backend servers, or a plain service, for use by callers.
struct Pipeline {
    PipelineId id;
    PipelineKind kind = PipelineKind::Generation;
    std::string model; ///< name of the model as backend servers report it
    std::uint32_t layers = 1; ///< number of layers of the model
    Labels selector; ///< labels that a backend server must have to serve this pipeline
    Labels workspaceSelector; ///< labels that a workspace must have to use this pipeline
    std::int64_t deadlineMs = 60000; ///< timeout of requests that specify none, in milliseconds
    std::uint32_t maxTokens = 512; ///< upper bound of the tokens that a request may ask for
};

/// A model engine or a plain service.
struct BackendServer {
    BackendId id;
    std::string address; ///< "ip:port"
    DataCentreId dataCentre;
    std::string accelerator; ///< type of its accelerator
    std::string service; ///< name of the plain service that it provides; empty for a model engine
    std::uint32_t slots = 8; ///< calls that a plain service can handle concurrently
    Labels labels;
    bool fenced = true; ///< whether it rejects orders with an outdated fencing token
    bool leaving = false; ///< whether operators have excluded it from new work
};

/// The operators' configuration at one revision of the store.
struct Configuration {
    Revision revision;
    std::map<WorkspaceId, Workspace> workspaces;
    std::map<PipelineId, Pipeline> pipelines;
    std::map<BackendId, BackendServer> backends;
};

} // namespace crocusmount
