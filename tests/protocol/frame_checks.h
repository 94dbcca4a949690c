#pragma once
// What every frame between nodes is held to.
#include <string>

#include "protocol/fixture_files.h"
#include "protocol/frame.h"
#include "protocol/frame_values.h"

namespace saddlewing::tests {

inline FrameHead frame_sender() {
  return {FrameKind::raft, IncarnationId{0x0102030405060708}, "10.1.2.3:7400"};
}

inline std::string frame_fixture(const std::string& name) {
  return "frames/" + name + ".bin";
}

template <class Message>
bool decodes_as(const std::string& bytes, FrameHead& head, Message& message) {
  ByteReader reader(bytes);
  return decode_head(reader, head) && decode(reader, message);
}

// The fixture and the value stand for each other; cut short, prolonged or damaged, the bytes do no
// harm.
template <class Message>
void check_frame(const std::string& name, FrameKind kind, const Message& value) {
  expect_fixture(frame_fixture(name), encode(frame_sender(), value));
  const std::string bytes = read_fixture(frame_fixture(name));
  FrameHead head;
  Message decoded;
  cr_assert(decodes_as(bytes, head, decoded), "%s is refused", name.c_str());
  cr_expect(head.kind == kind && head.incarnation == frame_sender().incarnation &&
                head.from == frame_sender().from,
            "%s: head", name.c_str());
  cr_expect(decoded == value, "%s: decoded to another value", name.c_str());
  const auto decodes = [](const std::string& some) {
    FrameHead some_head;
    Message message;
    return decodes_as(some, some_head, message);
  };
  expect_prefixes_refused(name, bytes, decodes);
  cr_expect(!decodes(bytes + '\0'), "%s with a byte more", name.c_str());
  decode_random_bytes(open_frame(frame_sender(), kind).take(), bytes, decodes);
}

// One flag alone: two that changed places would not be seen where all are set.
template <class Message>
void check_flag(const std::string& name, FrameKind kind, bool Message::*flag) {
  Message value;
  value.*flag = true;
  check_frame(name, kind, value);
}

}  // namespace saddlewing::tests
