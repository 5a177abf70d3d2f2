/// Traces: a cluster, what happens to it and the outcomes that must hold, as text with one event a line.
#pragma once

#include <string>
#include <vector>

#include "oriolelever/codes.h"
#include "oriolelever/model.h"

namespace oriolelever::lab {

enum class EventKind {
    Open, ///< open FLOW SERVICE BALANCER
    Packet, ///< packet FLOW BALANCER
    Close, ///< close FLOW BALANCER
    Drain, ///< drain SERVER VERSION: operators' order
    Undrain, ///< undrain SERVER VERSION
    ZoneOut, ///< zone-out ZONE VERSION
    ZoneReturn, ///< zone-return ZONE VERSION
    Reach, ///< reach VERSION NODE: the order comes into force at a node
    Replace, ///< replace SERVER: once its flows have ended, the host starts anew, cold
    Move, ///< move SERVER SERVICE: the same, and the host now serves another service
    Crash, ///< crash SERVER: the host dies
    Start, ///< start SERVER: the host starts, cold
    RestartAgent, ///< restart-agent SERVER: the server lives on
    RestartBalancer, ///< restart-balancer BALANCER
    Pause, ///< pause NODE
    Resume, ///< resume NODE
    TurnCold, ///< turn-cold SERVER: without warning
    StoreDown, ///< store-down
    StoreUp, ///< store-up
    StoreAnswerLost, ///< store-answer-lost: the order before it is sent again under a new version
};

struct Event
{
    Duration at{0};
    EventKind kind = EventKind::Packet;
    std::string name; ///< Server, zone, node or service.
    std::string other; ///< Balancer, or the new service.
    std::uint64_t number = 0; ///< Flow or version.
};

struct TraceService
{
    std::string name;
    Protocol protocol = Protocol::Tcp;
    std::uint32_t limit = 0; ///< Open flows a server takes.
    std::uint32_t nominal = 0; ///< Usual open flows of a server.
    std::chrono::milliseconds ramp{0};
};

struct TraceServer
{
    std::string name;
    std::string zone;
    std::string service;
};

/// An outcome that must hold: the figure is at most, or at least, the bound.
struct Requirement
{
    std::string figure;
    bool atMost = true;
    double bound = 0;
};

struct Trace
{
    std::string caseName;
    std::string deployment;
    std::uint64_t seed = 0;
    std::chrono::milliseconds length{0};
    std::chrono::microseconds delay{500}; ///< One way between zones.
    std::chrono::microseconds jitter{300};
    std::chrono::microseconds callerDelay{3000};
    std::chrono::milliseconds spread{100}; ///< Longest time until an announcement reaches a node.
    std::chrono::milliseconds detection{1000}; ///< From a death to its announcement.
    double loss = 0; ///< Of each packet and message.
    double doubled = 0;
    std::vector<std::string> balancers;
    std::vector<std::string> zones;
    std::vector<TraceService> services;
    std::vector<TraceServer> servers;
    std::vector<Event> events; ///< Ascending by time.
    std::vector<Requirement> requirements;
};

std::string writeTrace(const Trace &trace);
/// Fails with `Code::TableInvalid`; the text names file, line and value.
Result<Trace> readTrace(const std::string &file);

struct TraceOptions
{
    std::string caseName;
    std::string deployment;
    std::uint64_t seed = 1;
};

/// Draws a trace. Fails with `Code::UsageInvalid` when case or deployment does not exist.
Result<Trace> makeTrace(const TraceOptions &options);

} // namespace oriolelever::lab
