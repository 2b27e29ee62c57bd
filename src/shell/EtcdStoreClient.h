#pragma once

#include "shell/HttpClient.h"
#include "shell/StoreClient.h"

namespace crocusmount {

/// Client of a store with the JSON gateway of etcd v3. Uses the calls range, txn and watch.
class EtcdStoreClient final : public StoreClient {
public:
    /// @param addresses  "ip:port" of each server of the store; after a failure the client switches to the next one
    EtcdStoreClient(net::io_context&, std::vector<std::string> addresses);

private:
    Awaitable<absl::StatusOr<StoreRange>> onRange(std::string begin, std::string end) override;
    Awaitable<StoreWriteResult> onWrite(StoreWrite) override;
    Awaitable<absl::Status> onWatch(std::string begin, std::string end, std::int64_t fromRevision, OnWatch) override;

    /// @return a POST request to the current server
    HttpCall makeCall(std::string target, std::string body) const;
    /// Switches to the next server for later calls.
    void useNextAddress() { m_currentAddress = (m_currentAddress + 1) % m_addresses.size(); }

    HttpClient m_client;
    std::vector<std::string> m_addresses;
    std::size_t m_currentAddress = 0; ///< index of the current server in m_addresses
};

} // namespace crocusmount
