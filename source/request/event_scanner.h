#ifndef MARJORAMSILL_REQUEST_EVENT_SCANNER_H_
#define MARJORAMSILL_REQUEST_EVENT_SCANNER_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace marjoramsill {

/// Finds the places between two events in a stream of server-sent events
/// (HTML standard, section 9.2.6). Lines end with LF, CR or CR LF. A stream
/// that ends with its connection is whole only if it ends at such a place,
/// after at least one event.
class event_scanner {
 public:
  /// Reads further bytes. Returns how many of them come before the last place
  /// between two events, or 0 if there is none in them.
  std::size_t Read(std::string_view bytes);
  /// The bytes read so far end between two events: after a blank line, or after
  /// a comment that follows one.
  bool is_between_events() const;
  /// Events with data that have been completed.
  std::uint64_t event_count() const { return event_count_; }
  bool has_event() const { return event_count_ > 0; }
  /// Forgets an incomplete event after an interruption; the bytes that follow
  /// come from another stream.
  void DropRest();

 private:
  void ReadByte(char byte);
  void EndLine();

  /// Start of the current line's field name, as far as it is needed to
  /// recognize `data`.
  std::string name_;
  bool is_line_empty_ = true;
  bool is_comment_ = false;
  bool in_name_ = true;
  /// The last byte was CR; a following LF belongs to the same line end.
  bool after_cr_ = false;
  /// Fields since the last blank line.
  bool has_field_ = false;
  bool has_data_ = false;
  std::uint64_t event_count_ = 0;
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_REQUEST_EVENT_SCANNER_H_
