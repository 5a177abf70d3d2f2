/// Costs of control for one node, measured at several sizes.
#pragma once

#include <cstddef>
#include <utility>
#include <vector>

#include "oriolelever/types.h"

namespace oriolelever::lab {

/// Cost of one call between processes over loopback, both ends in this process.
struct CallCost
{
    double bytes = 0; ///< HTTP/2 of one end, without the bodies.
    double processor = 0; ///< Microseconds of one end.
};

CallCost measureCall(std::size_t calls);
/// Heap bytes of one end of an open connection without TLS.
double measureConnection(std::size_t connections);
/// Microseconds to encode, send, receive and decode one datagram.
double measureDatagram(std::size_t datagrams);

struct ControlOptions
{
    std::size_t nodes = 100; ///< Balancers.
    std::size_t servers = 0; ///< Each with an agent.
    std::size_t zones = 13;
    std::uint32_t seed = 1;
};

/// Figures of one balancer, mean of the fleet unless said otherwise.
struct ControlFigures
{
    double records = 0;
    double stateBytes = 0; ///< Heap of a full record table.
    double agentStateBytes = 0; ///< The same of an agent's.
    double heartbeatMessages = 0; ///< A second, sent and received.
    double heartbeatBytes = 0;
    double busiestHeartbeatBytes = 0; ///< Of the busiest node.
    double pushMessages = 0; ///< Sent for one change.
    double pushBytes = 0; ///< Sent and received for one change, with the calls' overhead.
    double pushProcessor = 0; ///< Microseconds for one change.
    double busiestPushMessages = 0; ///< Sent and received by the busiest node for one change.
    double inForce = 0; ///< Milliseconds from the change to the last node.
    double applyProcessor = 0; ///< Microseconds to put one record into a full table.
    double tickProcessor = 0; ///< Microseconds of one tick of the failure detector.
    double adoptProcessor = 0; ///< Microseconds to find the agents that a balancer is responsible for.
    double membersProcessor = 0; ///< Microseconds to bring one live member up to date.
    double membersBytes = 0; ///< Heap of the list of live members.
    double exchangeBytes = 0; ///< Of one comparison of full tables with one difference, bodies.
    double exchangeMessages = 0;
    double equalExchangeBytes = 0;
    double platformCalls = 0; ///< A second, of the whole fleet, at rest.
};

ControlFigures measureControl(const ControlOptions &options, const CallCost &call);

/// Slope of the least-squares line through the points.
double slopeOf(const std::vector<std::pair<double, double>> &points);

} // namespace oriolelever::lab
