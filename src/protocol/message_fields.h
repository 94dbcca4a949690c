#pragma once
// Encoding and decoding of a message from one description of its fields. For each message a .cpp
// file of this folder defines, in this namespace,
//
//     template <class Archive>
//     void describe_fields(Archive& archive, typename Archive::template Reference<Message> message)
//     {
//       archive(message.first_field, message.second_field);
//     }
//
// which the writer and the reader below share, so that the two directions cannot differ. Fields
// travel in the order of the call: a number, flag, enumerator or strong id as eight bytes; a text
// behind its length; a container as its count and then its items; a double as thousandths, rounded
// towards zero. An enumeration needs `constexpr E last_enumerator(E)` beside it.
// Not for records on disk, see state/bytes.h. Threading: no state beyond the call.
#include <concepts>
#include <cstdint>
#include <map>
#include <string>
#include <type_traits>
#include <vector>

#include "protocol/frame.h"

namespace saddlewing {

// A strong typedef of a number: Term, Index, Version, MemberId, IncarnationId.
template <class Field>
concept StrongNumber = requires(Field field) {
  requires std::integral<decltype(field.value)>;
};

// Appends the fields of a message to a frame.
class FieldWriter {
 public:
  template <class Message>
  using Reference = const Message&;

  explicit FieldWriter(Writer& writer) : writer_(writer) {
  }
  template <class... Fields>
  void operator()(const Fields&... fields) {
    (write(fields), ...);
  }

 private:
  template <class Field>
  void write(const Field& field) {
    if constexpr (std::integral<Field> || std::is_enum_v<Field>)
      writer_.number(static_cast<std::uint64_t>(field));
    else if constexpr (StrongNumber<Field>)
      writer_.number(static_cast<std::uint64_t>(field.value));
    else
      describe_fields(*this, field);
  }
  void write(double field) {
    writer_.number(static_cast<std::uint64_t>(field * 1000));
  }
  void write(const std::string& field) {
    writer_.text(field);
  }
  template <class Item>
  void write(const std::vector<Item>& items) {
    writer_.number(items.size());
    for (const Item& item : items)
      write(item);
  }
  template <class Key, class Value>
  void write(const std::map<Key, Value>& items) {
    writer_.number(items.size());
    for (const auto& [key, value] : items) {
      write(key);
      write(value);
    }
  }

  Writer& writer_;
};

// Counts the least number of bytes that an item may take, which bounds the count of a container
// before memory is reserved for it.
class MinimumSize {
 public:
  template <class Message>
  using Reference = const Message&;

  template <class... Fields>
  void operator()(const Fields&... fields) {
    (add(fields), ...);
  }
  template <class Field>
  static std::uint64_t of() {
    MinimumSize size;
    size.add(Field{});
    return size.bytes_;
  }

 private:
  template <class Field>
  static constexpr bool is_single = std::is_arithmetic_v<Field> || std::is_enum_v<Field> ||
                                    StrongNumber<Field> || std::same_as<Field, std::string>;
  template <class Field>
  void add(const Field& field) {
    if constexpr (is_single<Field>)
      bytes_ += 8;
    else
      describe_fields(*this, field);
  }
  template <class Item>
  void add(const std::vector<Item>&) {
    bytes_ += 8;
  }

  std::uint64_t bytes_ = 0;
};

// Reads the fields of a message. Damaged bytes leave the message in part read and is_valid() false.
class FieldReader {
 public:
  template <class Message>
  using Reference = Message&;

  explicit FieldReader(ByteReader& reader) : reader_(reader) {
  }
  template <class... Fields>
  void operator()(Fields&... fields) {
    (read(fields), ...);
  }
  // Every enumerator was one that exists. Whether the bytes sufficed the ByteReader knows.
  bool is_valid() const {
    return is_valid_;
  }

 private:
  template <class Field>
  void read(Field& field) {
    if constexpr (std::same_as<Field, bool>)
      field = reader_.number() != 0;
    else if constexpr (std::integral<Field>)
      field = static_cast<Field>(reader_.number());
    else if constexpr (std::is_enum_v<Field>)
      read_enumerator(field);
    else if constexpr (StrongNumber<Field>)
      field.value = static_cast<decltype(field.value)>(reader_.number());
    else
      describe_fields(*this, field);
  }
  template <class Enum>
  void read_enumerator(Enum& field) {
    const std::uint64_t number = reader_.number();
    if (number > static_cast<std::uint64_t>(last_enumerator(Enum{})))
      is_valid_ = false;
    else
      field = static_cast<Enum>(number);
  }
  void read(double& field) {
    field = static_cast<double>(reader_.number()) / 1000;
  }
  void read(std::string& field) {
    field = reader_.text();
  }
  template <class Item>
  void read(std::vector<Item>& items) {
    items.resize(reader_.count(MinimumSize::of<Item>()));
    for (Item& item : items)
      read(item);
  }
  // Of a key that comes twice the last value stays.
  template <class Key, class Value>
  void read(std::map<Key, Value>& items) {
    const std::uint64_t count = reader_.count(MinimumSize::of<Key>() + MinimumSize::of<Value>());
    for (std::uint64_t left = count; left > 0; --left) {
      Key key;
      read(key);
      read(items[std::move(key)]);
    }
  }

  ByteReader& reader_;
  bool is_valid_ = true;
};

// A whole frame: the head, with `kind` in place of its own, and the fields of the message.
template <class Message>
std::string encode_frame(const FrameHead& head, FrameKind kind, const Message& message) {
  Writer writer = open_frame(head, kind);
  FieldWriter fields(writer);
  describe_fields(fields, message);
  return writer.take();
}

// Reads a message behind the head. False: cut short, longer than the message, or an enumerator that
// does not exist.
template <class Message>
bool decode_fields(ByteReader& reader, Message& message) {
  FieldReader fields(reader);
  describe_fields(fields, message);
  return fields.is_valid() && reader.is_complete();
}

}  // namespace saddlewing
