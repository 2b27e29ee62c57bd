#pragma once

#include "relay/ServiceConfiguration.h"

#include <absl/container/flat_hash_map.h>
#include <memory>

namespace crocusmount::relay {

/// One configuration with its lookup tables. A RouteTable is immutable, built once when the configuration changes, and
/// shared by all calls that arrive while the configuration is in effect.
class RouteTable {
public:
    static std::shared_ptr<const RouteTable> make(ServiceConfiguration);

    /// @return the route of the host with the longest matching path prefix, or null
    const Route* route(const std::string& host, const std::string& path) const;
    /// @return the workspace settings that belong to an API key, or null if the key is unknown
    const WorkspaceKeys* workspaceByKey(const std::string& key) const;
    /// @return the service, or null if unknown
    const Service* service(const ServiceId&) const;
    /// @param entropy  uniformly random
    /// @return one of the route's services, chosen with a probability proportional to its weight
    static const ServiceId& pickService(const Route&, std::uint64_t entropy);

    const ServiceConfiguration& configuration() const { return m_configuration; }

private:
    explicit RouteTable(ServiceConfiguration);

    ServiceConfiguration m_configuration;
    absl::flat_hash_map<std::string, std::vector<const Route*>> m_routesByHost; ///< longest prefix first
    absl::flat_hash_map<std::string, const WorkspaceKeys*> m_holderByKey;
    absl::flat_hash_map<std::string, const Service*> m_services;
};

} // namespace crocusmount::relay
