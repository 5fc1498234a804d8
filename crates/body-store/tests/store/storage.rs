//! The folder and the file that chunks are stored in.

use dahliaspoke_body_store::storage::*;

#[test]
fn a_folder_holds_nothing_once_it_is_open_and_is_cleaned_of_what_a_crash_left() {
    let folder = tempfile::tempdir().expect("a folder");
    std::fs::write(folder.path().join("body-4711-0"), b"left behind").expect("written");
    let held = StorageFolder::open(folder.path()).expect("a folder");
    let names = || -> Vec<String> {
        let entries = std::fs::read_dir(folder.path()).expect("readable");
        entries.map(|e| e.expect("readable").file_name().to_string_lossy().into_owned()).collect()
    };
    assert_eq!(names(), ["bodies.lock"]);
    let segment = SegmentFile::open(held).expect("a file");
    segment.write(1, 3, b"abc").expect("written");
    let mut back = [0; 3];
    segment.read(1, 3, &mut back).expect("read");
    assert_eq!((&back, names()), (b"abc", vec!["bodies.lock".into()]));
    // Another process that lives must not lose what it has between two calls.
    std::fs::write(folder.path().join("body-4712-0"), b"").expect("written");
    StorageFolder::open(folder.path()).expect("beside the first");
    assert_eq!(names().len(), 2);
}
