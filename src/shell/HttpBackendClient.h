#pragma once

#include "shell/BackendClient.h"
#include "shell/HttpClient.h"

#include <absl/container/flat_hash_map.h>
#include <memory>
#include <set>
#include <string>

namespace crocusmount {

/// Calls backend servers over HTTP (docs/api.md, "Backend servers").
class HttpBackendClient final : public BackendClient {
public:
    /// @param owner  prefix of the name of each attempt on the wire; unique for each process of each instance
    HttpBackendClient(net::io_context&, std::string owner, Post);

private:
    void onStart(const effect::StartAttempt&) override;
    /// Closes the stream of an attempt. A call to a plain service is not cancelled.
    void onCancel(AttemptId) override;
    void onProbe(const effect::ProbeBackend&, const BackendServer* service) override;

    /// Runs an attempt at a chain: sends it to the first server and posts each token that is streamed back.
    Awaitable<void> runStream(effect::StartAttempt, std::shared_ptr<HttpClient::Handle>);
    /// Runs an attempt at a plain service. Its whole answer is posted as one token.
    Awaitable<void> runServiceCall(effect::StartAttempt);
    /// Probes a server and posts its load report.
    Awaitable<void> runProbe(effect::ProbeBackend);
    /// Probes a plain service and posts a report made from the configuration.
    Awaitable<void> runServiceProbe(effect::ProbeBackend, std::string service, std::uint32_t slots);
    /// Posts the event for one frame of a stream.
    /// @param data  JSON of a token, of the end or of an error
    /// @param ended  set to true if the frame ends the attempt
    /// @return false to stop reading the stream
    bool handleFrame(AttemptId, std::string_view data, bool& ended);
    /// Posts AttemptFailed with the reason that the answer gives.
    void postFailure(const effect::StartAttempt&, const HttpAnswer&);
    /// @return the name of an attempt on the wire: "PREFIX/NUMBER"
    std::string wireName(AttemptId) const;
    /// @return the attempt; an empty id if this client did not make the name
    AttemptId attemptFromWireName(std::string_view) const;

    net::io_context& m_context;
    std::string m_attemptPrefix; ///< of the names of attempts on the wire, unique for this process
    Post m_post;
    HttpClient m_client;
    absl::flat_hash_map<AttemptId, std::shared_ptr<HttpClient::Handle>> m_runningStreams; ///< without cancelled ones
    std::set<BackendId> m_probesInFlight; ///< servers whose probe has no result yet
};

} // namespace crocusmount
