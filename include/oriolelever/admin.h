/// Metrics, health and status of one process over HTTP.
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

/// Serves `process.admin` on the control thread: /metrics in Prometheus' text format, /health with 200 or,
/// while draining, 503, and /status as one JSON object with a member for each provider.
///
///     admin.addStatus("members", [this] { return nlohmann::json{{"live", m_live}}; });
class Admin : public Service
{
public:
    /// `tokens` guard /status and the questions; /metrics and /health are open to all. `metrics` must outlive
    /// the service; port 0 of `address` takes any free one.
    Admin(Endpoint address, Metrics &metrics, std::vector<OperatorToken> tokens = {});
    ~Admin() override;

    Result<void> start(Kernel &kernel) override;
    void beginDrain() override;
    void stop() override;

    /// Starts without a kernel, on `control`.
    Result<void> startOn(asio::io_context &control);

    /// Adds or replaces a provider; it is called on the control thread.
    void addStatus(std::string name, std::function<nlohmann::json()> provider);

    /// Parameters of a question, such as "kind" of /in-force?kind=zone.
    using Query = std::map<std::string, std::string>;
    /// Takes the HTTP status and the answer, once.
    using Reply = std::function<void(int status, const nlohmann::json &answer)>;

    /// Answers GET requests of `path`, such as "/in-force", of operators of `role` or above; called on the
    /// control thread.
    void addQuery(std::string path, OperatorRole role, std::function<void(const Query &, Reply)> handler);

    /// Makes /health answer 503 from now on.
    void setDraining();

    /// The port that is listened on, once the control thread runs.
    std::uint16_t port() const
    {
        return m_port;
    }

    /// The answer to /status.
    nlohmann::json status() const;

private:
    class Server;

    Endpoint m_address;
    Metrics &m_metrics;
    std::vector<OperatorToken> m_tokens;
    std::map<std::string, std::function<nlohmann::json()>> m_providers;

    struct Question
    {
        OperatorRole role = OperatorRole::Viewer;
        std::function<void(const Query &, Reply)> handler;
    };

    std::map<std::string, Question> m_queries;
    std::unique_ptr<Server> m_server;
    std::uint16_t m_port = 0;
    bool m_draining = false;
};

} // namespace oriolelever
