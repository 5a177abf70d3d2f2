/// HTTP server for the metrics, health and status of one process.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>

#include <nlohmann/json.hpp>

#include "oriolelever/access.h"
#include "oriolelever/kernel.h"
#include "oriolelever/metrics.h"
#include "oriolelever/types.h"

namespace oriolelever {

/// Listens at the address of setting `process.admin` and serves on the control thread: /metrics in
/// Prometheus' text format, /health with status 200 or, while draining, 503, /status as one JSON object with
/// a member for each provider, and the paths of `addQuery`.
///
///     admin.addStatus("members", [this] { return nlohmann::json{{"live", m_live}}; });
class Admin : public Service
{
public:
    /// /status and queries require one of `tokens` unless it is empty; /metrics and /health require none.
    /// `metrics` must outlive the service. Port 0 of `address` selects a free port.
    Admin(Endpoint address, Metrics &metrics, std::vector<OperatorToken> tokens = {});
    ~Admin() override;

    Result<void> start(Kernel &kernel) override;
    void beginDrain() override;
    void stop() override;

    /// Starts on `control` without a kernel. Fails if the address cannot be bound.
    Result<void> startOn(asio::io_context &control);

    /// Adds or replaces the provider of member `name` of /status; it is called on the control thread.
    void addStatus(std::string name, std::function<nlohmann::json()> provider);

    /// URL parameters by name, such as "kind" of /in-force?kind=zone.
    using Query = std::map<std::string, std::string>;
    /// Sends the response; must be called once.
    using Reply = std::function<void(int status, const nlohmann::json &answer)>;

    /// Serves GET requests of `path`, such as "/in-force", of operators who have `role` or a higher one.
    /// `handler` is called on the control thread and may reply later.
    void addQuery(std::string path, OperatorRole role, std::function<void(const Query &, Reply)> handler);

    /// Makes /health respond with status 503 from now on.
    void setDraining();

    /// The listening port; 0 until the control thread has run.
    std::uint16_t port() const
    {
        return m_port;
    }

    /// The JSON object of /status.
    nlohmann::json status() const;

private:
    class Server;

    Endpoint m_address;
    Metrics &m_metrics;
    std::vector<OperatorToken> m_tokens;
    std::map<std::string, std::function<nlohmann::json()>> m_providers;

    struct QueryEndpoint
    {
        OperatorRole role = OperatorRole::Viewer;
        std::function<void(const Query &, Reply)> handler;
    };

    std::map<std::string, QueryEndpoint> m_queryEndpoints;
    std::unique_ptr<Server> m_server;
    std::uint16_t m_port = 0;
    bool m_draining = false;
};

} // namespace oriolelever
