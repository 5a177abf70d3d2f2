/// What requests and answers of a soak hold.
#pragma once

#include <cstdint>
#include <span>
#include <vector>

#include "oriolelever/segment.h"

namespace oriolelever::lab {

std::vector<std::uint8_t> writeRequest(std::uint32_t number);
bool readRequest(std::span<const std::uint8_t> payload, std::uint32_t &number);

/// The answer names its flow and request, so that a caller recognises another one's.
std::vector<std::uint8_t> writeAnswer(const FlowKey &flow, std::uint32_t number);
bool readAnswer(std::span<const std::uint8_t> payload, std::uint64_t &flowHash, std::uint32_t &number);

} // namespace oriolelever::lab
