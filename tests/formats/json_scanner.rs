//! The end of a JSON object in a streamed body.

use sailmux::json::ObjectScanner;

#[test]
fn the_end_is_found_in_pieces_of_any_size_with_blank_lines_and_braces_in_strings() {
    let text = "\n\n{\n  \"instances\": [\n    {\"instanceId\": \"a}\\\"{\"}\n  ]\n}";
    for piece in 1..text.len() {
        let mut scanner = ObjectScanner::default();
        let mut body = Vec::new();
        let mut ends = Vec::new();
        for bytes in text.as_bytes().chunks(piece) {
            body.extend_from_slice(bytes);
            ends.extend(scanner.find_end(&body).expect("an object"));
        }
        assert_eq!(ends, [text.len()], "pieces of {piece}");
    }
}

#[test]
fn what_is_no_object_is_rejected() {
    for text in ["noise", "\n[", "{\"a\n", "}"] {
        assert!(ObjectScanner::default().find_end(text.as_bytes()).is_err(), "{text:?}");
    }
}
