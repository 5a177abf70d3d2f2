/// Sends callers' packets to balancers, as the routers before a deployment do.
#pragma once

#include <memory>
#include <string>
#include <vector>

#include <asio/steady_timer.hpp>

#include "oriolelever/flow.h"
#include "oriolelever/http-client.h"

namespace oriolelever::lab {

/// A balancer as the routers know it.
struct RoutedBalancer
{
    std::string name;
    std::string zone;
    Endpoint packets;
    Endpoint health;
};

/// A balancer that answers its health check is in rotation until it misses two.
class SoakRouter
{
public:
    SoakRouter(asio::io_context &context, std::vector<RoutedBalancer> balancers);

    void start();

    /// The balancer for a packet of a caller in `zone`; null if none is in rotation anywhere.
    const RoutedBalancer *route(const FlowKey &flow, const std::string &zone) const;

    /// Balancers in rotation.
    std::size_t inRotation() const;

private:
    struct Member
    {
        RoutedBalancer balancer;
        std::unique_ptr<HttpClient> health;
        bool inRotation = false;
        int misses = 0;
    };

    void check();

    asio::steady_timer m_timer;
    std::vector<Member> m_members;
};

} // namespace oriolelever::lab
