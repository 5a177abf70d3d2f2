/// Keeps a snapshot of a zone's flows in the platform's store, see `flow-registry.h`.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include <asio/io_context.hpp>

#include "oriolelever/platform.h"

namespace oriolelever {

struct FlowSnapshotOptions
{
    std::string kind; ///< Kind of the snapshots' objects in the store.
    std::string zone; ///< Availability zone; the name of the object.
    /// Between two writes. A flow that opened later than this before a power loss is not in the snapshot.
    std::chrono::milliseconds period{2000};
    std::chrono::milliseconds retryDelay{600}; ///< After a failed read, which the first write needs.
};

/// Reads the snapshot once, then writes it periodically when it has changed.
class FlowSnapshots
{
public:
    struct Events
    {
        /// Called with the stored snapshot if there is one.
        std::function<void(const std::string &text)> restored;
        /// Returns a new snapshot if the flows have changed since the last call.
        std::function<std::optional<std::string>()> changed;
        /// Called when a call has failed, with the error's text.
        std::function<void(const std::string &text)> failed;
    };

    FlowSnapshots(asio::io_context &context, ObjectApi &api, FlowSnapshotOptions options, Events events);
    ~FlowSnapshots();

    void start();
    /// The store has come back from an older copy of itself: reads the version of its snapshot.
    void handleNewEra();
    /// Makes a read at once that waits to be retried, as the store has answered another call.
    void retryNow();

private:
    struct State;
    std::shared_ptr<State> m_state;
};

} // namespace oriolelever
