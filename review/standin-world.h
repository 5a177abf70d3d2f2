// A small deployment on loopback: processes of the system, backend servers, clients, routers and the store.
#pragma once

#include <atomic>
#include <csignal>
#include <memory>
#include <set>

#include <sys/types.h>

#include "standin-net.h"

namespace review {

/// Addresses and times of a deployment. Ports are the same on all machines.
struct Site
{
    std::uint32_t network = 0; ///< 127.x.y.0; drawn for each run.
    std::uint16_t dgramPort = 0; ///< The other ports follow it.
    std::string directory; ///< For settings and logs.
    std::vector<std::string> zones;
    int idleTimeoutMs = 15'000;
    int heartbeatMs = 1200;

    std::uint32_t ip(int host) const
    {
        return network + static_cast<std::uint32_t>(host);
    }

    std::uint16_t port(int offset) const
    {
        return static_cast<std::uint16_t>(dgramPort + offset);
    }
};

/// Draws a network and ports.
Site drawSite(const std::string &directory);

enum Host {
    StoreHost = 1,
    CutStoreHost = 2,
    FirstBalancer = 11,
    FirstSide = 31,
    FirstClient = 101,
    VirtualHost = 201
};

enum PortOffset {
    DgramPort = 0,
    OutboundPort = 1,
    ReadyPort = 2,
    ControlPort = 3,
    AppPort = 4,
    StorePort = 5,
    FirstInternalPort = 10
};

/// A process of the system, started again shortly after it has ended.
class Node
{
public:
    Node(const Site &site, std::string name, std::string role, int host, std::string zone,
         std::string service, int storeHost = StoreHost);
    ~Node();

    void start();
    void send(int signal);
    /// Ends the process; it does not come back until `start`.
    void remove();
    /// Called often by the world: starts the process again if it has ended.
    void check();

    const std::string &name() const
    {
        return m_name;
    }

    const std::string &zone() const
    {
        return m_zone;
    }

    int host() const
    {
        return m_host;
    }

    /// How often the process ended without a signal of the test.
    int ownEnds() const
    {
        return m_ownEnds;
    }

private:
    std::string settings() const;

    const Site &m_site;
    std::string m_name;
    std::string m_role;
    int m_host;
    std::string m_zone;
    std::string m_service;
    int m_storeHost;
    std::mutex m_mutex;
    pid_t m_pid = 0;
    bool m_wanted = false;
    bool m_signalled = false;
    double m_startAt = 0;
    std::atomic<int> m_ownEnds = 0;
};

/// A backend server beside an agent.
class Server
{
public:
    Server(const Site &site, std::string name, int host, std::string zone, std::string service);
    ~Server();

    /// Begins a new lifetime under `id`.
    void start(const std::string &id);

    /// The next lifetimes belong to another service: the address is used again.
    void setService(const std::string &service)
    {
        m_service = service;
    }

    /// Ends at once and says nothing.
    void crash();
    /// From now on says `draining`; each flow is closed with its next answer.
    void drain();
    /// Deregisters and ends. `delaySeconds` is how long the network holds the call up.
    void leave(double delaySeconds = 0);

    int openFlows();

    /// Opening packets to a virtual port that this lifetime has taken.
    int openingsTo(int virtualPort);
    /// Requests on flows to a virtual port that this lifetime has run.
    int runsOf(int virtualPort);

    const std::string &name() const
    {
        return m_name;
    }

    /// Names of the flows that are open here, by the client's address.
    bool holds(const Address &client);

    /// Whether the agent has acknowledged a heartbeat of this lifetime that said so.
    bool isDrainAcknowledged() const
    {
        return m_drainAcknowledged;
    }

private:
    struct Flow
    {
        std::uint32_t initial = 0;
        std::uint32_t nextFromClient = 0;
        std::uint32_t nextToClient = 0;
        bool open = false;
        std::vector<std::uint8_t> unacknowledged; ///< Sent again until the client acknowledges it.
        double resendAt = 0;
        double interval = 0;
        int resends = 0;
    };

    using Key = std::pair<Address, Address>; ///< The client's end and the virtual address.

    struct Work
    {
        double due = 0;
        Key flow;
        std::string id;
    };

    void run();
    void beat();
    void handle(std::vector<std::uint8_t> &bytes);
    void sendReliably(Flow &flow, const Packet &packet);
    void answer(const Work &work);
    void resend();
    std::string body(bool draining);

    const Site &m_site;
    std::string m_name;
    int m_host;
    std::string m_zone;
    std::string m_service;
    Address m_app;
    Address m_outbound;
    Address m_control;
    std::mutex m_mutex;
    std::thread m_thread;
    std::thread m_beats;
    std::atomic<bool> m_running = false;
    std::atomic<bool> m_draining = false;
    std::atomic<bool> m_drainAcknowledged = false;
    std::map<int, int> m_openings; ///< By virtual port.
    std::map<int, int> m_runs;
    std::string m_id;
    std::int64_t m_born = 0;
    std::uint64_t m_sequence = 0;
    int m_udp = -1;
    int m_tcp = -1;
    std::map<Key, Flow> m_flows;
    std::vector<Work> m_work;
};

/// The platform's routers: which balancer gets a client's packet.
class Router
{
public:
    Router(const Site &site, const std::vector<std::unique_ptr<Node>> &balancers);
    ~Router();

    void start();
    Address route(const Address &client, const std::string &zone);
    bool isInRotation(const std::string &balancer);

private:
    struct Member
    {
        const Node *node = nullptr;
        int misses = 2;
        bool inRotation = false;
    };

    const Site &m_site;
    std::mutex m_mutex;
    std::vector<Member> m_members;
    std::vector<std::thread> m_probes;
    std::atomic<bool> m_running = true;
};

enum class FlowState { Opening, Open, Refused, Ignored, Reset, Closed };

/// A client host of one zone.
class Client
{
public:
    Client(const Site &site, Router &router, int host, std::string zone);
    ~Client();

    /// Opens a flow to the route at `virtualPort`; returns its port.
    int open(int virtualPort);
    FlowState state(int flow);
    Address address(int flow) const;
    /// Sends a request on an open flow. It is answered within the deadline or given up.
    void request(int flow, const std::string &id, double deadline);
    /// Whether no request is under way.
    bool isIdle(int flow);
    /// Whether the request was answered; no value while it is under way.
    std::optional<bool> outcome(const std::string &id);
    void close(int flow);

private:
    struct Flow
    {
        Address virtualAddress;
        FlowState state = FlowState::Opening;
        std::uint32_t sequence = 0;
        std::uint32_t acknowledgement = 0;
        double openedAt = 0;
        int copies = 0;
        std::string id; ///< Of the request under way.
        std::string data;
        double deadline = 0;
        double resendAt = 0;
        double interval = 0;
    };

    void run();
    void handle(const std::vector<std::uint8_t> &bytes);
    void advance(int port, Flow &flow);
    void send(int port, const Flow &flow, Packet packet);
    void finish(Flow &flow, bool answered);

    const Site &m_site;
    Router &m_router;
    int m_host;
    std::string m_zone;
    int m_socket = -1;
    std::mutex m_mutex;
    std::map<int, Flow> m_flows;
    std::map<std::string, bool> m_outcomes;
    int m_nextPort = 20'000;
    std::thread m_thread;
    std::atomic<bool> m_running = true;
};

struct Route
{
    int port = 0;
    std::string service;
    std::string type = "idempotent";
};

/// Everything of one run.
struct World
{
    Site site;
    Store store;
    std::vector<std::unique_ptr<Node>> balancers;
    std::vector<std::unique_ptr<Node>> agents; ///< In the order of `servers`.
    std::vector<std::unique_ptr<Server>> servers;
    std::unique_ptr<Router> router;
    std::vector<std::unique_ptr<Client>> clients; ///< One for each zone.
    std::atomic<bool> isStoreBusy = false; ///< Rejects all calls.
    std::atomic<bool> isStoreRefusing = false; ///< Rejects the calls of those that use its second address.
    std::atomic<bool> isStoreCut = false; ///< From those that use its second address.

    explicit World(Site drawn);
    ~World();

    Node &addBalancer(const std::string &zone, int storeHost = StoreHost);
    /// Adds a machine with a server and its agent.
    Server &addServer(const std::string &zone, const std::string &service);
    void configure(std::uint64_t version, const std::vector<Route> &routes);
    /// Starts all, and waits until every balancer is in rotation; false if that takes too long.
    bool start();
    Client &clientOf(const std::string &zone);
    int ownEnds() const;

private:
    std::thread m_checks;
    std::atomic<bool> m_running = true;
};

} // namespace review
