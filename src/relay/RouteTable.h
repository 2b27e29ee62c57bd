#pragma once

#include "relay/ServiceConfiguration.h"

#include <absl/container/flat_hash_map.h>
#include <memory>

namespace crocusmount::relay {

/// One configuration with its lookups, built once off the path of calls and shared by all that came under it.
class RouteTable {
public:
    static std::shared_ptr<const RouteTable> make(ServiceConfiguration);

    /// @return the route of that host with the longest prefix that begins the path, or null
    const Route* route(const std::string& host, const std::string& path) const;
    /// @return who holds a key, or null
    const KeyHolder* holderOf(const std::string& key) const;
    const Service* service(const ServiceId&) const;
    /// @param entropy  uniform
    /// @return one of the route's services, by weight
    static const ServiceId& pickService(const Route&, std::uint64_t entropy);

    const ServiceConfiguration& configuration() const { return m_configuration; }

private:
    explicit RouteTable(ServiceConfiguration);

    ServiceConfiguration m_configuration;
    absl::flat_hash_map<std::string, std::vector<const Route*>> m_routesByHost; ///< longest prefix first
    absl::flat_hash_map<std::string, const KeyHolder*> m_holderByKey;
    absl::flat_hash_map<std::string, const Service*> m_services;
};

} // namespace crocusmount::relay
