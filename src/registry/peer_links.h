#pragma once
// Outgoing frame connections to the other registries, one per inner address.
//
// Does not decide who is a peer: the caller names the addresses that are to be kept. Incoming
// frames are the business of `FrameServer`. Used by the control thread only.
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "transport/frame_link.h"

namespace saddlewing {

// Sends a frame to another registry.
class PeerSender {
 public:
  virtual ~PeerSender() = default;
  // Sends the encoded frame `bytes` to the registry at the inner address `address`. Never blocks:
  // the frame is dropped if the registry is not connected, or if the address is the own one or does
  // not parse.
  virtual void send_to(const std::string& address, const std::string& bytes) = 0;
  // A connection to this inner address is kept open; whether it stands at present is not told.
  virtual bool is_connected_to(const std::string& address) const = 0;
};

class PeerLinks final : public PeerSender {
 public:
  // `context` must outlive this object. `own_address`: inner address, never connected to.
  PeerLinks(LinkContext& context, std::string own_address);

  // Opens a connection unless there is one already.
  void connect(const std::string& address);
  // Closes each connection for whose address `is_needed` is false.
  void retain(const std::function<bool(const std::string&)>& is_needed);
  bool is_connected_to(const std::string& address) const override {
    return clients_.contains(address);
  }
  // Adds the handle of each connection, as `wait_links` takes them.
  void append_handles(std::vector<void*>& handles);
  // Receives and drops what came over these connections: peers answer over their own.
  void discard_received();

  void send_to(const std::string& address, const std::string& bytes) override;

 private:
  LinkContext& context_;
  const std::string own_address_;
  std::map<std::string, std::unique_ptr<FrameClient>> clients_;  // by inner address
};

}  // namespace saddlewing
